"""Exchange of membership heartbeats with other hosts."""

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

# Interval between heartbeats while no other host is live, so that a starting
# host finds its zone within a few of them. Also the delay after a change.
_FAST_INTERVAL_MS = 100.0
# Without a change, heartbeats go to other zones in one of so many rounds.
# Traffic between zones costs more than the news are worth.
_ROUNDS_PER_OTHER_ZONE_HEARTBEAT = 2

HeartbeatHandler = collections.abc.Callable[
    [model.HostId, messages.Heartbeat, float], None
]


class HeartbeatExchange:
    """Sends heartbeats periodically and after changes, and receives them.

    Received heartbeats update the membership. A change in the membership
    triggers the next heartbeats after a short delay.
    """

    def __init__(
        self,
        membership: memberships.Membership,
        peers: reconnectablepeers.ReconnectablePeers,
        replica_status: collections.abc.Callable[[float], tuple[int, int]],
        on_heartbeat: HeartbeatHandler,
        on_membership_changed: collections.abc.Callable[[], None],
    ) -> None:
        """Register the handler of received heartbeats with ``peers``.

        ``replica_status`` takes the current time in ms. It returns the digest
        of this host's replica of the platform's state and the age of that
        state in ms, -1 while there is none. ``on_heartbeat`` is called with
        the sender, the heartbeat and the time of its receipt in ms, and
        ``on_membership_changed`` when a host became live, started anew or
        changed its state.
        """
        self._membership = membership
        self._peers = peers
        self._replica_status = replica_status
        self._on_heartbeat = on_heartbeat
        self._on_membership_changed = on_membership_changed
        self._membership_changed = anyio.Event()
        peers.register_handler(messages.Heartbeat, self._receive_heartbeat)

    async def run(self) -> None:
        """Send heartbeats and remove expired members until cancelled."""
        round_number = 0
        while True:
            now_ms = model.now_ms()
            has_changed = self._membership_changed.is_set()
            self.send_heartbeats(
                now_ms,
                has_changed
                or round_number % _ROUNDS_PER_OTHER_ZONE_HEARTBEAT == 0,
            )
            round_number += 1
            self._membership.remove_expired_members(now_ms)
            for host in self._membership.newly_silent_hosts(now_ms):
                self._peers.reconnect(host)
            self._membership_changed = anyio.Event()
            has_live_peers = self._membership.has_live_peers(now_ms)
            interval_ms = (
                membertable.HEARTBEAT_INTERVAL_MS
                if has_live_peers
                else _FAST_INTERVAL_MS
            )
            with anyio.move_on_after(interval_ms / 1_000):
                await self._membership_changed.wait()
                # Combines changes that arrive together in one heartbeat.
                await anyio.sleep(_FAST_INTERVAL_MS / 1_000)

    def send_heartbeats(
        self, now_ms: float, includes_other_zones: bool = True
    ) -> None:
        """Send heartbeats to all gossip peers, and to seeds when due.

        Without ``includes_other_zones`` only the own zone gets them.
        """
        own_zone = self._membership.own_member.zone
        for host in self._membership.gossip_peers(now_ms):
            if (
                not includes_other_zones
                and self._membership.zone_of(host) != own_zone
            ):
                continue
            reports = self._membership.reports_for(host, now_ms)
            self._peers.notify(host, self._heartbeat(reports, now_ms))
        for seed in self._membership.start_seed_discovery(now_ms):
            heartbeat = self._heartbeat((), now_ms, is_asking=True)
            self._peers.notify(seed, heartbeat)

    def _heartbeat(
        self,
        reports: tuple[memberreport.MemberReport, ...],
        now_ms: float,
        is_asking: bool = False,
    ) -> messages.Heartbeat:
        digest, age_ms = self._replica_status(now_ms)
        return messages.Heartbeat(
            own=self._membership.own_member,
            others=reports,
            digest=digest,
            fresh_age_ms=age_ms,
            is_asking=is_asking,
        )

    def set_state(self, state: members.MemberState) -> None:
        """Change this host's state and send heartbeats with it at once."""
        own_member = self._membership.own_member
        self._membership.own_member = msgspec.structs.replace(
            own_member, state=state
        )
        self.send_heartbeats(model.now_ms())

    def set_target_path(self, has_target_path: bool) -> None:
        """Change whether this host has a path to targets, and tell it."""
        own_member = self._membership.own_member
        self._membership.own_member = msgspec.structs.replace(
            own_member, has_target_path=has_target_path
        )
        self._membership_changed.set()
        self.send_heartbeats(model.now_ms())

    def _receive_heartbeat(
        self, sender: model.HostId, message: peer.Message, now_ms: float
    ) -> None:
        """Update the membership and answer a request for discovery."""
        if (
            not isinstance(message, messages.Heartbeat)
            or sender != message.own.host
        ):
            return
        if self._membership.apply_heartbeat(message, now_ms):
            self._membership_changed.set()
            self._on_membership_changed()
        if message.is_asking:
            reports = self._membership.discovery_reports(sender, now_ms)
            self._peers.notify(sender, self._heartbeat(reports, now_ms))
        self._on_heartbeat(sender, message, now_ms)
