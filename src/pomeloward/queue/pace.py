"""How fast a queue is served, to foresee whether a deadline can be met."""

import collections

# Services in the estimate; older ones describe an earlier load.
_MAX_SERVED = 64
_MIN_SERVED = 8
# A request is not refused for its own running time alone beyond this part
# of its time, since the estimate mixes routes.
_MAX_RUN_RATIO = 0.2


class Pace:
    """Rate of service while requests waited."""

    def __init__(self) -> None:
        self._served_ms: collections.deque[float] = collections.deque(
            maxlen=_MAX_SERVED
        )

    def served(self, now_ms: float, *, has_waiting: bool) -> None:
        """Note a service; an interval without waiting says nothing."""
        if not has_waiting:
            self._served_ms.clear()
        self._served_ms.append(now_ms)

    def wait_ms(self, ahead: int, now_ms: float) -> float:
        """Return how long a ticket will wait, 0 while unknown."""
        served = self._served_ms
        if len(served) < _MIN_SERVED:
            return 0.0
        return ahead * (now_ms - served[0]) / len(served)


def latest_start_ms(
    arrived_ms: float, deadline_ms: float, usual_run_ms: float
) -> float:
    """Return when a request has to start to meet its deadline."""
    limit_ms = _MAX_RUN_RATIO * (deadline_ms - arrived_ms)
    return deadline_ms - min(usual_run_ms, limit_ms)
