"""How many requests a host carries, from its limits."""

from pomeloward import settings

# Requests/s that one core carries: about 3.5 ms of processor time each, on
# two thirds of the core. The roster leaves room for bursts besides.
_REQUESTS_PER_CORE_S = 190
# Requests/s that a link of one Mbit/s carries when half used: a request and
# its answer take about 8 kB in each direction.
_REQUESTS_PER_MBIT_S = 7.8
# Part of its capacity that a slow host offers: less than any other has, so
# that callers come only while there is no other host.
_SLOW_RATIO = 0.1


def capacity_per_s(given: settings.EdgeSettings, is_slow: bool = False) -> int:
    """Return the requests/s that processor and link carry."""
    by_processor = given.cores * _REQUESTS_PER_CORE_S
    by_link = given.link_mbps * _REQUESTS_PER_MBIT_S
    ratio = _SLOW_RATIO if is_slow else 1.0
    return max(1, int(ratio * min(by_processor, by_link)))
