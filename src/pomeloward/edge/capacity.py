"""Estimates how many requests/s a host can carry."""

from pomeloward import settings

# Requests/s that one core carries: about 3.5 ms of processor time each, with
# the core two thirds busy. ``fleet.Membership`` adds headroom for bursts.
_CORE_CAPACITY_PER_S = 190
# Requests/s that a link of 1 Mbit/s carries when half used: a request and its
# response take about 8 kB in each direction.
_MBIT_CAPACITY_PER_S = 7.8
# Ratio of its capacity that a slow host reports. That is less than any other
# host has, so callers are sent to a slow host only if there is no other.
_SLOW_HOST_RATIO = 0.1


def estimate_capacity_per_s(
    host_settings: settings.EdgeSettings, is_slow: bool = False
) -> int:
    """Return the requests/s that the processor and the link can carry."""
    processor_per_s = host_settings.cores * _CORE_CAPACITY_PER_S
    link_per_s = host_settings.link_mbps * _MBIT_CAPACITY_PER_S
    ratio = _SLOW_HOST_RATIO if is_slow else 1.0
    return max(1, int(ratio * min(processor_per_s, link_per_s)))
