"""Tells other hosts of requests that crash their targets."""

import collections.abc

from pomeloward import fleet
from pomeloward import model
from pomeloward import peer
from pomeloward import quarantine


class QuarantineReporter:
    """Sends and receives the reports of a host's quarantine.

    Crashes go to the active hosts, where a repeated request most likely
    comes. These tell all hosts of their zone which requests are quarantined,
    regularly, since a host may have started in between.
    """

    def __init__(
        self,
        membership: fleet.Membership,
        peers: peer.Peers,
        request_quarantine: quarantine.RequestQuarantine,
    ) -> None:
        """Register the handler of received reports with ``peers``."""
        self._membership = membership
        self._peers = peers
        self._quarantine = request_quarantine
        self._reported_at_ms = float("-inf")
        self._reported: frozenset[model.RequestFingerprint] = frozenset()
        peers.register_handler(quarantine.CrashReport, self._handle_report)

    def send_reports(
        self,
        is_active: bool,
        all_active_members: collections.abc.Collection[fleet.Member],
        now_ms: float,
    ) -> None:
        """Send what is new, and what is due again on an active host."""
        if self._quarantine.has_news:
            self._notify(all_active_members, self._quarantine.pop_news(now_ms))
        quarantined = self._quarantine.quarantined(now_ms)
        if not is_active or not quarantined:
            return
        fingerprints = frozenset(one.fingerprint for one in quarantined)
        is_due = now_ms - self._reported_at_ms >= quarantine.REPORT_INTERVAL_MS
        if not is_due and fingerprints <= self._reported:
            return
        self._reported_at_ms = now_ms
        self._reported = fingerprints
        own_zone = self._membership.own_member.zone
        receivers = self._membership.live_members(own_zone, now_ms)
        receivers += [
            member for member in all_active_members if member.zone != own_zone
        ]
        self._notify(
            receivers, quarantine.CrashReport(quarantined=quarantined)
        )

    def _notify(
        self,
        receivers: collections.abc.Iterable[fleet.Member],
        report: quarantine.CrashReport,
    ) -> None:
        own_host = self._membership.own_member.host
        for member in receivers:
            if member.host != own_host:
                self._peers.notify(member.host, report)

    def _handle_report(
        self, sender: model.HostId, message: peer.Message, now_ms: float
    ) -> None:
        if isinstance(message, quarantine.CrashReport):
            self._quarantine.apply_report(message, now_ms)
