"""Tests of the digest by which repeated requests are recognized."""

from pomeloward import quarantine


def _fingerprint(
    method="GET", path=b"/a/1", team_id="t", body=b"", length=None
):
    return quarantine.compute_fingerprint(method, path, team_id, body, length)


def test_equal_requests_have_the_same_fingerprint():
    assert _fingerprint() == _fingerprint()
    assert _fingerprint(body=b"x", length=1) == _fingerprint(
        body=b"x", length=1
    )


def test_method_path_team_and_body_each_make_another_request():
    fingerprints = [
        _fingerprint(),
        _fingerprint(method="HEAD"),
        _fingerprint(path=b"/a/2"),
        _fingerprint(team_id="u"),
        _fingerprint(body=b"x", length=1),
        _fingerprint(body=b"y", length=1),
        _fingerprint(body=b"x"),
    ]
    assert len(set(fingerprints)) == len(fingerprints)


def test_parts_do_not_run_into_each_other():
    """A digest of the joined parts made different requests equal."""
    assert _fingerprint(path=b"/a", team_id="bc") != _fingerprint(
        path=b"/ab", team_id="c"
    )


def test_body_beyond_the_limit_counts_by_its_length():
    start = b"x" * quarantine.BODY_BYTES
    assert _fingerprint(body=start + b"1", length=9) == _fingerprint(
        body=start + b"2", length=9
    )
    assert _fingerprint(body=start, length=9) != _fingerprint(
        body=start, length=8
    )
