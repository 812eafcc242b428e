"""Measures the control bytes of edge hosts by fleet size.

Heartbeats and usage reports are made by the decisions themselves and
counted as encoded on the wire; no process runs. Example::

    python -m bench.edgecontrol --zones 4 --hosts 48 138 300 --teams 88
"""

import argparse
import dataclasses
import sys

import msgspec

from pomeloward import fleet
from pomeloward import model
from pomeloward import peer
from pomeloward import quota
from pomeloward.fleet import membertable
from pomeloward.peer import wireformat

_SETTLE_MS = 6_000.0
_MEASURED_MS = 8_000.0
# Array, byte string and masked websocket frame, with TCP and IP.
_FRAME_BYTES = 3 + 8 + 40
_LOAD_PER_S = 10


@dataclasses.dataclass
class Traffic:
    """Bytes that one host sent."""

    near: int = 0
    remote: int = 0
    messages: int = 0


class Model:
    """Memberships that exchange heartbeats, with their bytes counted."""

    def __init__(self, zones: int, hosts: int) -> None:
        self.now_ms = 0.0
        names = [
            (model.ZoneId(f"zone-{n % zones}"), f"10.{n % zones}.0.{n}:8407")
            for n in range(hosts)
        ]
        seeds = [model.HostId(host) for _, host in names[:3]]
        self.memberships = {
            model.HostId(host): fleet.Membership(
                fleet.Member(
                    model.HostId(host),
                    zone,
                    model.Incarnation(1_796_000_000_000),
                    fleet.MemberState.READY,
                    load_per_s=_LOAD_PER_S,
                ),
                {zone for zone, _ in names},
                seeds,
            )
            for zone, host in names
        }
        self.traffic = {host: Traffic() for host in self.memberships}

    def run(self, duration_ms: float) -> None:
        """Let all hosts exchange heartbeats for a while."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += membertable.HEARTBEAT_INTERVAL_MS
            for host, membership in self.memberships.items():
                self._send_heartbeats(host, membership)

    def spend(self, teams: int) -> float:
        """Return bytes/s that an active host sends in usage reports."""
        membership = next(iter(self.memberships.values()))
        receivers = len(membership.all_active_members(self.now_ms)) - 1
        usage_report = quota.UsageReport(
            teams=tuple(
                quota.TeamUsage(model.TeamId(f"team-{n:04}"), 3)
                for n in range(teams)
            )
        )
        per_s = 1_000 / quota.USAGE_REPORT_INTERVAL_MS
        return receivers * per_s * _size(usage_report)

    def _send_heartbeats(
        self, host: model.HostId, membership: fleet.Membership
    ) -> None:
        for receiver in membership.gossip_peers(self.now_ms):
            self._carry(
                host, receiver, membership.reports_for(receiver, self.now_ms)
            )
        for seed in membership.start_seed_discovery(self.now_ms):
            if seed != host:
                self._carry(host, seed, ())
                reports = self.memberships[seed].discovery_reports(
                    host, self.now_ms
                )
                self._carry(seed, host, reports)

    def _carry(
        self,
        host: model.HostId,
        receiver: model.HostId,
        reports: tuple[fleet.MemberReport, ...],
    ) -> None:
        own = self.memberships[host].own_member
        heartbeat = fleet.Heartbeat(
            own=own, others=reports, digest=2**63, fresh_age_ms=9
        )
        sent = self.traffic[host]
        sent.messages += 1
        if self.memberships[receiver].own_member.zone == own.zone:
            sent.near += _size(heartbeat)
        else:
            sent.remote += _size(heartbeat)
        self.memberships[receiver].apply_heartbeat(heartbeat, self.now_ms)


def _size(message: peer.Message) -> int:
    return (
        len(
            wireformat.encode_envelope(
                wireformat.EnvelopeKind.NOTIFICATION, 0, message
            )
        )
        + _FRAME_BYTES
    )


def main() -> int:
    """Print a row for each fleet size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--zones", type=int, default=4)
    parser.add_argument("--teams", type=int, default=8)
    parser.add_argument("--hosts", type=int, nargs="+", default=[48, 138, 300])
    given = parser.parse_args()
    for hosts in given.hosts:
        made = Model(given.zones, hosts)
        made.run(_SETTLE_MS)
        made.traffic = {host: Traffic() for host in made.memberships}
        made.run(_MEASURED_MS)
        rows = sorted(made.traffic.values(), key=lambda t: t.near + t.remote)
        ordinary, leader = rows[len(rows) // 2], rows[-1]
        row = {
            "hosts": hosts,
            "ordinary_bytes_per_s": _per_s(ordinary.near + ordinary.remote),
            "leader_near_bytes_per_s": _per_s(leader.near),
            "leader_remote_bytes_per_s": _per_s(leader.remote),
            "leader_messages_per_s": _per_s(leader.messages),
            "spending_bytes_per_s": round(made.spend(given.teams)),
        }
        print(msgspec.json.encode(row).decode())
    return 0


def _per_s(count: float) -> float:
    return round(count / _MEASURED_MS * 1_000, 1)


if __name__ == "__main__":
    sys.exit(main())
