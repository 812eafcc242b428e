"""A request that waits for a slot of a service."""

import dataclasses


@dataclasses.dataclass(slots=True, eq=False)
class QueuedRequest:
    """A waiting request.

    ``priority`` 0 is the most urgent. ``objective_at_ms`` is when the answer
    is due, ``deadline_ms`` when it is of no use any more, and
    ``expected_run_ms`` how long a run of the request usually takes.
    """

    priority: int
    objective_at_ms: float
    deadline_ms: float
    expected_run_ms: float

    @property
    def latest_start_ms(self) -> float:
        """When the request has to start to end in time."""
        return self.deadline_ms - self.expected_run_ms

    def sort_key(self, now_ms: float) -> tuple[bool, int, float]:
        """Return the place in the line.

        Requests that can still be in time for their objective come before
        those that are late already, then the urgent ones, then those whose
        objective ends first.
        """
        is_late = now_ms + self.expected_run_ms > self.objective_at_ms
        return is_late, self.priority, self.objective_at_ms
