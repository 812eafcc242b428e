"""How slow each route of a service is now, apart from the targets."""

import collections.abc

from pomeloward.service import window

# Samples of a route at other targets that are worth as much as the
# assumption that the route is as slow as usual.
_PRIOR_SAMPLES = 4


class RouteEffect:
    """Excess of each route over its usual latency, in nats.

    Hosts take a route's usual latency from minutes of their own requests. A
    route that turned slow since then would make those targets look slow
    that happen to serve it; the mean over the other targets is taken off.
    """

    def __init__(self, targets: collections.abc.Sequence[window.Sums]) -> None:
        self._totals: dict[int, tuple[int, float]] = {}
        for sums in targets:
            for route, (samples, nats) in sums.routes.items():
                known, total = self._totals.get(route, (0, 0.0))
                self._totals[route] = (known + samples, total + nats)

    def adjusted_nats(self, own: window.Sums, span: window.Sums) -> float:
        """Return a target's nats without those of its routes.

        ``own`` are the sums to adjust, and ``span`` the same target's part
        of the totals, which is left out of them.
        """
        nats = own.nats
        for route, (samples, _) in own.routes.items():
            known, total = self._totals.get(route, (0, 0.0))
            samples_here, nats_here = span.routes.get(route, (0, 0.0))
            others = known - samples_here
            effect = (total - nats_here) / (others + _PRIOR_SAMPLES)
            nats -= samples * effect
        return nats
