"""Derives the usable part of the rates from the zones that send reports."""

from pomeloward import model
from pomeloward.quota import teamratelimiter

# Active hosts send a usage report at each interval, even an empty one. A
# zone counts as silent once two reports in a row are lost.
ZONE_REPORT_TIMEOUT_MS = 3 * teamratelimiter.USAGE_REPORT_INTERVAL_MS


class ZoneReportTracker:
    """Tracks from which availability zones usage reports arrive.

    A host that receives reports from all zones knows what they use, so the
    whole of each rate is usable. The part of a silent zone isn't, since that
    zone may use it without this host knowing. A host that receives no reports
    at all may be one of many that are cut off at the same time, so it uses
    only a single host's part.
    """

    def __init__(self, own_zone: model.ZoneId) -> None:
        self._own_zone = own_zone
        self._last_report_at_ms: dict[model.ZoneId, float] = {}

    def record_report(self, zone: model.ZoneId, now_ms: float) -> None:
        """Store the arrival time of a usage report from a host of a zone."""
        self._last_report_at_ms[zone] = now_ms

    def usable_rate_ratio(
        self,
        zone_count: int,
        known_host_count: int,
        is_active: bool,
        now_ms: float,
    ) -> float:
        """Return the part of each team's rate that is usable, 0 to 1.

        ``is_active`` tells that this host serves callers. Only active hosts
        are sent usage reports, so only for them no reports means being cut
        off.
        """
        reporting_zones = {
            zone
            for zone, last_report_at_ms in self._last_report_at_ms.items()
            if now_ms - last_report_at_ms <= ZONE_REPORT_TIMEOUT_MS
        }
        if is_active and not reporting_zones and known_host_count > 1:
            return 1 / known_host_count
        return len(reporting_zones | {self._own_zone}) / max(1, zone_count)
