"""Tests of snapshots and changes that a peer takes over."""

import random

from pomeloward import catalog
from pomeloward.catalog import actions
from pomeloward.catalog import change
from pomeloward.catalog import changelog
from pomeloward.catalog import messages
from pomeloward.catalog import pages
from pomeloward.catalog import pagesource
from tests.catalog import samples


def _serving(version=7):
    teams = [catalog.Team(f"team-{n}", 1.0, 1.0) for n in range(3_000)]
    contents = [*samples.records(), *teams]
    node = catalog.Spreader("h1", [], random.Random(1))
    view = catalog.Configuration.of_records(version, contents)
    node.on_built(view, 0.0)
    return node


def _pull(asking, serving, now_ms, on_page=lambda: None):
    """Run questions and answers until a build is due or none follows."""
    for _ in range(200):
        todo = asking.on_tick(now_ms)
        asks = [
            each
            for each in todo
            if isinstance(each, actions.Ask)
            and not isinstance(each.question, messages.VersionAsk)
        ]
        if not asks:
            return None
        answer = serving.answer(asks[0].question, now_ms)
        done = asking.on_answer("h1", answer, now_ms, now_ms)
        if done:
            return done[0]
        on_page()
    raise AssertionError("the transfer does not end")


def test_transfer_goes_on_while_newer_versions_come_into_force():
    """Guards against a start that a busy morning puts off for ever."""
    serving = _serving()
    asking = catalog.Spreader("h2", ["h1"], random.Random(1))
    asking.on_peer_version("h1", 7, 0.0)

    def publish():
        changed = samples.change(serving.view.version)
        serving.on_change(change.encode_change(changed), 0.0)

    build = _pull(asking, serving, 0.0, publish)
    assert build.version == 7
    assert serving.view.version > 7
    found = pages.decode_pages(build.pages)
    view = catalog.Configuration.of_records(build.version, found)
    asking.on_built(view, 0.0)
    asking.on_peer_version("h1", serving.view.version, 0.0)
    _pull(asking, serving, 1_000.0)
    assert asking.view.version == serving.view.version


def test_transfer_starts_again_when_the_version_is_not_kept():
    """Guards against a host that asks for ever for a lost version."""
    asking = catalog.Spreader("h2", ["h1"], random.Random(1))
    asking.on_peer_version("h1", 7, 0.0)
    first = asking.on_tick(0.0)[-1]
    asking.on_answer("h1", _serving().answer(first.question, 0.0), 0.0, 0.0)
    restarted = _serving(version=8)
    assert _pull(asking, restarted, 100.0) is None
    asking.on_peer_version("h1", 8, 200.0)
    assert _pull(asking, restarted, 200.0).version == 8


def test_pages_of_an_unknown_version_are_not_served():
    """Guards against a page that belongs to another version."""
    source = pagesource.PageSource()
    view = samples.configuration(7)
    for version, page in ((6, 0), (7, 9), (7, -1)):
        question = messages.PageAsk(version=version, page=page)
        assert source.answer(question, view, 0.0).pages == 0
    empty = catalog.Configuration.empty()
    question = messages.PageAsk(version=0, page=0)
    assert source.answer(question, empty, 0.0).pages == 0


def test_log_is_bounded_and_unbroken():
    """Guards against a log that grows for ever, or answers with a gap."""
    log = changelog.ChangeLog()
    payload = b"x" * 1_000
    for base in range(2_000):
        log.append(samples.change(base), payload)
    first = next(n for n in range(2_000) if log.after(n) is not None)
    # A quarter of the limit is dropped at once.
    limit = changelog.MAX_LOG_BYTES // len(payload)
    assert limit * 3 // 4 <= 2_000 - first <= limit
    assert log.after(first - 1) is None
    assert log.after(2_000) is None
    assert 0 < len(log.after(first)) <= 64
    assert log.after(1_999) == (payload,)


def test_log_follows_a_version_that_was_rejected():
    """Guards against a peer that a gap in the numbers cuts off."""
    log = changelog.ChangeLog()
    log.append(samples.change(4), b"a")
    log.append(samples.change(5, version=8), b"b")
    log.append(samples.change(8), b"c")
    assert log.after(5) == (b"b", b"c")
    assert log.after(7) is None
