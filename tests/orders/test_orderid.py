"""Tests of issued order ids."""

import hypothesis
from hypothesis import strategies

from pomeloward.orders import messages
from pomeloward.orders import orderid

_IDS = orderid.OrderIds(b"secret")
_TEXT = _IDS.make(
    "r/1", "team", messages.Issued(messages.Term(7, 5), 1234), b"random"
)


def test_an_id_is_read_back_by_its_team_only():
    """Guards against ids that another team made or found."""
    found = _IDS.parse("team", _TEXT)
    assert found.partition == "r/1"
    assert found.issued == messages.Issued(messages.Term(7, 5), 1234)
    assert _IDS.parse("other", _TEXT) is None
    assert orderid.OrderIds(b"other").parse("team", _TEXT) is None


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    at=strategies.integers(0, len(_TEXT) - 1), put=strategies.characters()
)
def test_a_changed_id_is_refused_or_the_same_order(at, put):
    """Guards against a second order out of one id, and against errors."""
    found = _IDS.parse("team", _TEXT[:at] + put + _TEXT[at + 1 :])
    assert found is None or found.name == _IDS.parse("team", _TEXT).name
