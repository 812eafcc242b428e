"""Voters and holders with own clocks, driven by hand without a network."""

import dataclasses

from pomeloward import model
from pomeloward.ownership import events
from pomeloward.ownership import holder
from pomeloward.ownership import messages
from pomeloward.ownership import voter

REGION = model.RegionId("south")
NUMBER = 0
HOSTS = tuple(model.HostId(name) for name in "abcde")
_OLD = (1, HOSTS[:3])
_NEW = (2, HOSTS[2:])
# Version 1 has the old roster, version 2 both, version 3 the new one.
ELECTORATES = {1: dict([_OLD]), 2: dict([_OLD, _NEW]), 3: dict([_NEW])}


class SimHost:
    """One host; its clock runs at ``speed`` times the reference time."""

    def __init__(self, name, speed=1.0, offset_ms=0.0, skew_units=0):
        self.name = name
        self.version = model.Version(1)
        self._speed = speed
        self._offset_ms = offset_ms
        self._skew_units = skew_units
        self.incarnation = model.Incarnation(0)
        self.restart(0.0)

    def now_ms(self, time_ms: float) -> float:
        return self._offset_ms + time_ms * self._speed

    def restart(self, time_ms: float) -> None:
        self.incarnation = model.Incarnation(self.incarnation + 1)
        self.voter = voter.Voter(self.now_ms(time_ms))
        self.holder = holder.Holder()

    def stand(self, time_ms: float, is_probing: bool = False) -> None:
        wall_units = int(time_ms / 100) + 100 + self._skew_units
        lowest = max(wall_units, self.voter.highest_epoch(NUMBER) + 1)
        electorate = ELECTORATES[self.version]
        now_ms = self.now_ms(time_ms)
        self.holder.stand(NUMBER, lowest, electorate, now_ms, is_probing)

    def holds(self, time_ms: float) -> model.Epoch | None:
        return self.holder.holds(NUMBER, self.now_ms(time_ms))


@dataclasses.dataclass(frozen=True)
class Packet:
    """An ask on its way, or its answer once ``answer`` is set."""

    asker: SimHost
    voter: SimHost
    ask: messages.VoteAsk
    asked_ms: float
    answer: messages.VoteAnswer | None = None


class Fleet:
    """Hosts and the packets between them under one reference time."""

    def __init__(self, hosts: list[SimHost]) -> None:
        self.hosts = hosts
        self.time_ms = 0.0
        self.packets: list[Packet] = []
        self.acquired: list[int] = []

    def send_asks(self, asker: SimHost) -> list[Packet]:
        now_ms = asker.now_ms(self.time_ms)
        wanted = asker.holder.bids(now_ms) | asker.holder.renewals(now_ms)
        by_name = {host.name: host for host in self.hosts}
        sent = []
        for name, bids in wanted.items():
            ask = messages.VoteAsk(
                region=REGION,
                version=asker.version,
                incarnation=asker.incarnation,
                bids=bids,
            )
            sent.append(Packet(asker, by_name[name], ask, now_ms))
        return sent

    def arrive(self, packet: Packet) -> Packet | None:
        """Handle an ask, and return its answer, or handle an answer."""
        if packet.answer is None:
            answer = packet.voter.voter.answer(
                packet.asker.name,
                packet.ask,
                packet.voter.version,
                True,
                packet.voter.now_ms(self.time_ms),
            )
            return dataclasses.replace(packet, answer=answer)
        if packet.ask.incarnation != packet.asker.incarnation:
            return None
        happened = packet.asker.holder.answered(
            packet.voter.name,
            packet.ask.bids,
            packet.answer,
            packet.asked_ms,
            packet.asker.now_ms(self.time_ms),
        )
        self._note(happened, packet.asker)
        return None

    def _note(self, happened: list[events.Event], asker: SimHost) -> None:
        for event in happened:
            if isinstance(event, events.Failed):
                self.free(asker, event.epoch, "", is_unused=True)
            if isinstance(event, events.Acquired):
                assert event.epoch > max(self.acquired, default=0), (
                    "an epoch did not grow"
                )
                self.acquired.append(event.epoch)

    def exchange(self, asker: SimHost, reach=None, back_ms=0) -> None:
        """Ask some voters; their answers take ``back_ms`` to return."""
        answers = [
            self.arrive(packet)
            for packet in self.send_asks(asker)
            if reach is None or packet.voter in reach
        ]
        self.time_ms += back_ms
        for answer in answers:
            if answer is not None:
                self.arrive(answer)

    def release(self, owner: SimHost, successor: str = "") -> None:
        """Give up the partition and free its votes at every host."""
        if not owner.holder.is_engaged(NUMBER):
            return
        given_up = owner.holder.surrender(NUMBER)
        self.free(owner, given_up.epoch, successor, not given_up.is_owner)

    def free(self, owner, epoch, successor, is_unused) -> None:
        notice = messages.Release(
            region=REGION,
            incarnation=owner.incarnation,
            bids=(messages.Bid(NUMBER, epoch),),
            successor=model.HostId(successor),
            is_unused=is_unused,
        )
        for host in self.hosts:
            now_ms = host.now_ms(self.time_ms)
            host.voter.release(owner.name, notice, now_ms)

    def valid_holders(self) -> list[str]:
        return [h.name for h in self.hosts if h.holds(self.time_ms)]
