"""Tests of the cost of renewals, from real decisions and encoded sizes."""

import collections

import pytest

from pomeloward import model
from pomeloward.ownership import holder
from pomeloward.ownership import lease
from pomeloward.ownership import messages
from pomeloward.ownership import territory
from pomeloward.ownership import voter
from pomeloward.peer import wireformat
from tests import views

_REGION = model.RegionId("south")
_INCARNATION = model.Incarnation(1_796_000_000)
# An epoch of the year 2028.
_EPOCH = 700_000_000
# Headers of the array, the byte string and the masked websocket frame.
_HEADERS = 3 + 6


class Ledger:
    """Hosts that renew all their partitions once, and what they send."""

    def __init__(self, view: views.FleetView) -> None:
        self.sent: collections.Counter[str] = collections.Counter()
        self.view = view
        self._land = territory.Territory(view, _REGION)
        names = [host.id for host in view.hosts()]
        self._voters = {n: voter.Voter(-lease.SILENCE_MS) for n in names}
        self._holders = {n: holder.Holder() for n in names}
        for number, first in enumerate(self._land.firsts()):
            electorate = self._land.electorate(number)
            held = self._holders[first]
            held.stand(number, _EPOCH, electorate, 0.0, is_probing=False)

    def round(self, now_ms: float) -> None:
        for name, held in self._holders.items():
            wanted = held.bids(now_ms) | held.renewals(now_ms)
            for to, bids in wanted.items():
                if to == name:
                    self._exchange(name, to, bids, now_ms, 0)
                else:
                    self._exchange(name, to, bids, now_ms, 1)

    def _exchange(self, name, to, bids, now_ms, weight) -> None:
        ask = messages.VoteAsk(
            region=_REGION,
            version=self.view.version,
            incarnation=_INCARNATION,
            bids=bids,
        )
        answer = self._voters[to].answer(
            name, ask, self.view.version, True, now_ms
        )
        self._holders[name].answered(to, bids, answer, now_ms, now_ms)
        asked = wireformat.encode_envelope(
            wireformat.EnvelopeKind.REQUEST, 100_000, ask
        )
        answered = wireformat.encode_envelope(
            wireformat.EnvelopeKind.RESPONSE, 100_000, answer
        )
        self.sent[name] += weight * (len(asked) + _HEADERS)
        self.sent[to] += weight * (len(answered) + _HEADERS)


@pytest.mark.parametrize(("hosts", "partitions"), [(48, 64), (213, 640)])
def test_renewals_cost_less_than_half_of_the_control_share(
    hosts, partitions, record_testsuite_property
):
    """Guards against renewals that use up the 9 KB/s of control traffic."""
    ledger = Ledger(
        views.FleetView(hosts, 4, partitions=partitions, version=300_000)
    )
    ledger.round(0.0)
    ledger.sent.clear()
    ledger.round(1_000.0)
    seconds = lease.RENEW_MS / 1000
    most = max(ledger.sent.values()) / seconds
    mean = ledger.sent.total() / seconds / hosts
    record_testsuite_property(f"renewals_{hosts}_max_bytes_per_s", most)
    record_testsuite_property(f"renewals_{hosts}_mean_bytes_per_s", mean)
    assert most < 4_500
