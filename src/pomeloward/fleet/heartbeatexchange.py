"""Sends and receives the beats of membership."""

import collections.abc

import anyio
import msgspec

from pomeloward import model
from pomeloward import peer
from pomeloward.fleet import member as members
from pomeloward.fleet import memberreport
from pomeloward.fleet import membership as memberships
from pomeloward.fleet import membertable
from pomeloward.fleet import messages
from pomeloward.fleet import reconnectablepeers

# A host that starts finds its zone within a few of these.
_EAGER_MS = 100.0

HeartbeatHandler = collections.abc.Callable[
    [model.HostId, messages.Heartbeat, float], None
]


class HeartbeatExchange:
    """Beats to the roster's receivers, at once when something changes."""

    def __init__(
        self,
        membership: memberships.Membership,
        peers: reconnectablepeers.ReconnectablePeers,
        status: collections.abc.Callable[[float], tuple[int, int]],
        on_beat: HeartbeatHandler,
    ) -> None:
        """Make the loop.

        ``status`` returns the replica's digest and the age of its state in
        ms, -1 while there is none.
        """
        self._membership = membership
        self._peers = peers
        self._status = status
        self._on_beat = on_beat
        self._changed = anyio.Event()
        peers.handle(messages.Heartbeat, self._received)

    async def run(self) -> None:
        """Beat until cancelled."""
        while True:
            now_ms = model.now_ms()
            self.send_heartbeats(now_ms)
            self._membership.remove_expired_members(now_ms)
            for host in self._membership.newly_silent_hosts(now_ms):
                self._peers.reconnect(host)
            self._changed = anyio.Event()
            has_peers = self._membership.has_live_peers(now_ms)
            pause_ms = (
                membertable.HEARTBEAT_INTERVAL_MS if has_peers else _EAGER_MS
            )
            with anyio.move_on_after(pause_ms / 1_000):
                await self._changed.wait()
                # One beat tells of all changes that arrive together.
                await anyio.sleep(_EAGER_MS / 1_000)

    def send_heartbeats(self, now_ms: float) -> None:
        """Beat to all contacts now, and ask seeds when it is time."""
        contacts = self._membership.gossip_peers(now_ms)
        for host in contacts:
            others = self._membership.reports_for(host, now_ms)
            self._peers.tell(host, self._beat(others, now_ms))
        for host in self._membership.start_seed_discovery(now_ms):
            beat = self._beat((), now_ms, is_asking=True)
            self._peers.tell(host, beat)

    def _beat(
        self,
        others: tuple[memberreport.MemberReport, ...],
        now_ms: float,
        is_asking: bool = False,
    ) -> messages.Heartbeat:
        digest, age_ms = self._status(now_ms)
        return messages.Heartbeat(
            own=self._membership.own_member,
            others=others,
            digest=digest,
            fresh_age_ms=age_ms,
            is_asking=is_asking,
        )

    def set_state(self, state: members.MemberState) -> None:
        """Change this host's state and tell it at once."""
        own = self._membership.own_member
        self._membership.own_member = msgspec.structs.replace(own, state=state)
        self.send_heartbeats(model.now_ms())

    def _received(
        self, host: model.HostId, message: peer.Message, now_ms: float
    ) -> None:
        if (
            not isinstance(message, messages.Heartbeat)
            or host != message.own.host
        ):
            return
        if self._membership.apply_heartbeat(message, now_ms):
            self._changed.set()
        if message.is_asking:
            others = self._membership.discovery_reports(host, now_ms)
            self._peers.tell(host, self._beat(others, now_ms))
        self._on_beat(host, message, now_ms)
