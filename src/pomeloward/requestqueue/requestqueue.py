"""Queue of one service for the requests that exceed its free slots."""

import collections.abc

from pomeloward.requestqueue import queuedrequest

# Largest part of the time that a request has left to start that its
# estimated wait may take: until its objective, until its latest start, or,
# for a queued request that will miss its objective, from its objective to
# its latest start. The rest is for urgent requests that arrive later and
# start before it.
_MAX_WAIT_RATIO = 0.5
# Requests per slot that may wait although they will miss their objective.
# They get a slot when a burst ends; while the load stays above the slots
# they get none.
_LATE_REQUESTS_PER_SLOT = 0.25


class RequestQueue:
    """Orders waiting requests and tells which ones to refuse.

    A slot is one request that a target may run at a time. The queue handles
    two kinds of overload. In a burst above the slots of a service, urgent
    requests start first. After a loss of targets, the requests that exceed
    the remaining slots are refused at once, whether they are new or already
    wait, and the estimated wait tells their callers when to retry.

    Requests that will miss their latency objective start last, and only a
    few of them may wait, since they get no slot while the load stays above
    the slots.
    """

    def __init__(self) -> None:
        self._requests: list[queuedrequest.QueuedRequest] = []

    def __len__(self) -> int:
        return len(self._requests)

    def estimate_wait_ms(
        self,
        request: queuedrequest.QueuedRequest,
        slot_count: int,
        now_ms: float,
    ) -> float:
        """Return how long a request would wait in the queue as it is now."""
        own_key = request.sort_key(now_ms)
        ahead_ms = sum(
            queued.expected_run_ms
            for queued in self._requests
            if queued.sort_key(now_ms) <= own_key
        )
        return ahead_ms / max(1, slot_count)

    def can_admit(
        self,
        request: queuedrequest.QueuedRequest,
        slot_count: int,
        now_ms: float,
    ) -> bool:
        """Return whether a request may wait.

        Its estimated wait has to leave the margin of ``_MAX_WAIT_RATIO``
        until its objective, or until its deadline while only a few queued
        requests will miss their objectives.
        """
        if slot_count <= 0:
            return False
        wait_ms = self.estimate_wait_ms(request, slot_count, now_ms)
        until_objective_ms = (
            request.objective_at_ms - request.expected_run_ms - now_ms
        )
        if wait_ms <= until_objective_ms * _MAX_WAIT_RATIO:
            return True
        until_latest_start_ms = request.latest_start_ms - now_ms
        late_count = sum(
            1 for _ in self._iter_late_requests(slot_count, now_ms)
        )
        return (
            late_count < _max_late_requests(slot_count)
            and wait_ms <= until_latest_start_ms * _MAX_WAIT_RATIO
        )

    def add(self, request: queuedrequest.QueuedRequest) -> None:
        """Add a request to the queue."""
        self._requests.append(request)

    def discard(self, request: queuedrequest.QueuedRequest) -> None:
        """Remove a request, started or not, if it is in the queue."""
        if request in self._requests:
            self._requests.remove(request)

    def requests_to_refuse(
        self, slot_count: int, now_ms: float
    ) -> list[queuedrequest.QueuedRequest]:
        """Return the queued requests that should not wait any longer.

        A loss of slots, or urgent requests that arrive later, can delay
        admitted requests so far that they will get no slot in time.
        """
        refused: list[queuedrequest.QueuedRequest] = []
        kept_late_count = 0
        for request, start_ms in self._iter_late_requests(slot_count, now_ms):
            objective_to_latest_start_ms = (
                request.latest_start_ms - request.objective_at_ms
            )
            if (
                kept_late_count >= _max_late_requests(slot_count)
                or start_ms
                > request.objective_at_ms
                + objective_to_latest_start_ms * _MAX_WAIT_RATIO
            ):
                refused.append(request)
            else:
                kept_late_count += 1
        return refused

    def requests_in_order(
        self, now_ms: float
    ) -> list[queuedrequest.QueuedRequest]:
        """Return the queued requests, the next to start first."""
        return sorted(
            self._requests, key=lambda request: request.sort_key(now_ms)
        )

    def _iter_late_requests(
        self, slot_count: int, now_ms: float
    ) -> collections.abc.Iterator[tuple[queuedrequest.QueuedRequest, float]]:
        """Yield requests that will miss their objective, and their starts.

        Both follow from the expected runs of the requests ahead; a start is
        a clock time in ms.
        """
        start_ms = now_ms
        for request in self.requests_in_order(now_ms):
            if start_ms + request.expected_run_ms > request.objective_at_ms:
                yield request, start_ms
            start_ms += request.expected_run_ms / max(1, slot_count)


def _max_late_requests(slot_count: int) -> float:
    """Return how many requests may wait that will miss their objective."""
    return max(1.0, slot_count * _LATE_REQUESTS_PER_SLOT)
