"""Tests of when an owner may act."""

import pytest

from pomeloward import orders
from pomeloward.orders import messages
from pomeloward.orders import orderscope
from tests import fakes
from tests.budget import owners

_LONG_AGO_MS = -1e9


class _Fixture:
    """One host that owns the only partition and is its only voter."""

    def __init__(self):
        self.view = self.configure(1)
        self.owners = owners.Owners()
        self.owners.table["south/0"] = ("h0", 1)
        self.shell = orders.OrderShell(
            "h0",
            fakes.FakePeers(None, "h0"),
            self.owners.of("h0"),
            lambda: self.view,
            orders.Electorates(lambda: self.view),
            orders.OrderIds(b"secret"),
            _LONG_AGO_MS,
        )
        self.shell.on_acquired("south/0", 1, None, _LONG_AGO_MS)
        ledger = self.shell._ledgers["south/0"]
        ledger.recover(orders.Recovery(()), _LONG_AGO_MS)

    def configure(self, partitions):
        regions = (("south", partitions, 1.0),)
        return owners.configuration(["h0"], [], regions=regions)

    def claim(self, name, now_ms):
        layout = orderscope.layout_of(self.view)
        order = messages.Order("south/0", name, "t", b"", None, layout)
        question = messages.ClaimOrder(order=order, attempt=1)
        return self.shell.on_claim("h9", question, now_ms).verdict


@pytest.fixture
def fixture():
    return _Fixture()


def test_a_ledger_of_an_earlier_epoch_is_not_used(fixture):
    """Guards against missing what an owner in between permitted."""
    assert fixture.claim(b"a", 0.0) is messages.Verdict.RUN
    fixture.owners.table["south/0"] = ("h0", 3)
    assert fixture.claim(b"b", 1.0) is messages.Verdict.UNAVAILABLE
    fixture.owners.table["south/0"] = ("h1", 4)
    assert fixture.claim(b"b", 1.0) is messages.Verdict.UNAVAILABLE


def test_a_new_mapping_of_keys_makes_the_history_incomplete(fixture):
    """Guards against running a key that another partition recorded."""
    assert fixture.claim(b"a", 0.0) is messages.Verdict.RUN
    fixture.view = fixture.configure(64)
    assert fixture.claim(b"b", 1.0) is messages.Verdict.UNAVAILABLE
    fixture.shell.on_configuration(1.0)
    assert fixture.claim(b"b", 20_000.0) is messages.Verdict.UNKNOWN
    assert fixture.claim(b"c", 700_000.0) is messages.Verdict.RUN
