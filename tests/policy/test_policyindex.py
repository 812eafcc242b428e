"""Tests of look-ups in the configuration."""

from hypothesis import given
from hypothesis import strategies as st

from pomeloward import model
from pomeloward import policy

_SPLIT = (policy.WeightedService(model.ServiceId("orders"), 1.0),)


def _route(name, host, prefix):
    return policy.Route(
        model.RouteId(name), host, prefix, True, 1_000.0, 500.0, 1, _SPLIT
    )


def _index(routes, teams=()):
    return policy.PolicyIndex(
        policy.Policy(model.Version(1), routes=tuple(routes), teams=teams)
    )


def test_longest_prefix_wins():
    index = _index(
        [_route("a", "h", "/"), _route("b", "h", "/x/"), _route("c", "i", "/")]
    )
    assert index.find_route("h", "/x/y").id == "b"
    assert index.find_route("h", "/xy").id == "a"
    assert index.find_route("i", "/x/").id == "c"
    assert index.find_route("j", "/x/") is None


@given(
    st.sets(st.lists(st.sampled_from("ab"), max_size=4).map(tuple)),
    st.lists(st.sampled_from("ab"), max_size=5),
)
def test_longest_prefix_equals_search(prefixes, segments):
    """The look-up by slashes finds what a search through all finds."""
    texts = ["/" + "".join(f"{s}/" for s in parts) for parts in prefixes]
    index = _index([_route(text, "h", text) for text in texts])
    path = "/" + "/".join(segments)
    fitting = [text for text in texts if path.startswith(text)]
    expected = max(fitting, key=len, default=None)
    found = index.find_route("h", path)
    assert (found.id if found else None) == expected


def test_team_is_known_by_its_keys_digest():
    digest = policy.hash_api_key(b"secret")
    index = _index([], (policy.Team(model.TeamId("t"), (digest,)),))
    assert index.find_team(digest).id == "t"
    assert index.find_team(policy.hash_api_key(b"other")) is None
    assert b"secret" not in repr(index.policy).encode()
