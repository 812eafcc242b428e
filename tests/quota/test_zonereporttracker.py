"""Tests of the part of the rates that a host and its peers may use."""

from pomeloward import model
from pomeloward import quota

_OWN_ZONE, _ZONE_B, _ZONE_C, _ZONE_D = (model.ZoneId(name) for name in "abcd")


def _make_tracker(reporting_zones, now_ms=0.0):
    tracker = quota.ZoneReportTracker(_OWN_ZONE)
    for zone in reporting_zones:
        tracker.record_report(zone, now_ms)
    return tracker


def test_whole_rate_is_usable_while_all_zones_report():
    assert (
        _make_tracker([_ZONE_B, _ZONE_C, _ZONE_D]).usable_rate_ratio(
            4, 48, True, 100.0
        )
        == 1.0
    )


def test_part_of_silent_zones_is_not_usable():
    tracker = _make_tracker([_ZONE_B, _ZONE_C, _ZONE_D])
    tracker.record_report(_ZONE_B, 1_000.0)
    assert tracker.usable_rate_ratio(4, 48, True, 1_100.0) == 0.5


def test_host_without_reports_uses_the_part_of_one_host():
    """Many hosts of a fleet may be cut off at the same time."""
    tracker = _make_tracker([_ZONE_B, _ZONE_C, _ZONE_D])
    assert tracker.usable_rate_ratio(4, 48, True, 600.0) == 1 / 48


def test_whole_rate_is_usable_by_the_only_host():
    assert _make_tracker([]).usable_rate_ratio(1, 1, True, 600.0) == 1.0
