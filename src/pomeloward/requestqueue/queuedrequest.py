"""A request that waits for a free slot of a service."""

import dataclasses


@dataclasses.dataclass(slots=True, eq=False)
class QueuedRequest:
    """A request in the queue of a service.

    ``priority`` 0 is the most urgent. ``objective_at_ms`` and
    ``deadline_ms`` are clock times: an answer meets the latency objective
    until the first and is useless after the second. ``expected_run_ms`` is
    the usual time from the start of the request at a target to its answer.
    """

    priority: int
    objective_at_ms: float
    deadline_ms: float
    expected_run_ms: float

    @property
    def latest_start_ms(self) -> float:
        """Return the clock time until which a start meets the deadline."""
        return self.deadline_ms - self.expected_run_ms

    def sort_key(self, now_ms: float) -> tuple[bool, int, float]:
        """Return the key that sorts requests, the next to start first.

        Requests that would meet their objective if they started now come
        before those that would miss it, then the more urgent ones, then
        those with the earlier objective.
        """
        misses_objective = now_ms + self.expected_run_ms > self.objective_at_ms
        return misses_objective, self.priority, self.objective_at_ms
