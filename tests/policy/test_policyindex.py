"""Tests of look-ups in a policy, the operators' configuration."""

from hypothesis import given
from hypothesis import strategies as st

from pomeloward import model
from pomeloward import policy

_WEIGHTED_SERVICES = (policy.WeightedService(model.ServiceId("orders"), 1.0),)


def _make_route(route_id, host, prefix):
    return policy.Route(
        model.RouteId(route_id),
        host,
        prefix,
        True,
        1_000.0,
        500.0,
        1,
        _WEIGHTED_SERVICES,
    )


def _make_index(routes, teams=()):
    return policy.PolicyIndex(
        policy.Policy(model.Version(1), routes=tuple(routes), teams=teams)
    )


def test_route_with_longest_prefix_is_found():
    index = _make_index(
        [
            _make_route("a", "h", "/"),
            _make_route("b", "h", "/x/"),
            _make_route("c", "i", "/"),
        ]
    )
    assert index.find_route("h", "/x/y").id == "b"
    assert index.find_route("h", "/xy").id == "a"
    assert index.find_route("i", "/x/").id == "c"
    assert index.find_route("j", "/x/") is None


@given(
    st.sets(st.lists(st.sampled_from("ab"), max_size=4).map(tuple)),
    st.lists(st.sampled_from("ab"), max_size=5),
)
def test_found_route_equals_linear_search(
    segments_of_prefixes, segments_of_path
):
    """The look-up finds what a search through all prefixes finds."""
    prefixes = [
        "/" + "".join(f"{segment}/" for segment in segments)
        for segments in segments_of_prefixes
    ]
    index = _make_index(
        [_make_route(prefix, "h", prefix) for prefix in prefixes]
    )
    path = "/" + "/".join(segments_of_path)
    matching_prefixes = [
        prefix for prefix in prefixes if path.startswith(prefix)
    ]
    expected_id = max(matching_prefixes, key=len, default=None)
    route = index.find_route("h", path)
    assert (route.id if route else None) == expected_id


def test_team_is_found_by_key_digest():
    """The policy holds the digest of an API key, never the key itself."""
    key_digest = policy.hash_api_key(b"secret")
    index = _make_index([], (policy.Team(model.TeamId("t"), (key_digest,)),))
    assert index.find_team(key_digest).id == "t"
    assert index.find_team(policy.hash_api_key(b"other")) is None
    assert b"secret" not in repr(index.policy).encode()
