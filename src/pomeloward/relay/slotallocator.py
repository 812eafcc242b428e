"""Allocates slots of targets to requests, which wait while none is free."""

import collections.abc

import anyio
import expression

from pomeloward import balance
from pomeloward import model
from pomeloward import requestqueue
from pomeloward.relay import admittedrequest

# Interval of the checks for slots that become free by the passing of time:
# when the pause after a shed request ends, or by the rate of a cold target.
_CHECK_INTERVAL_S = 0.02
# Bounds of the Retry-After of a refused request: about the run of a short
# request, and the interval in which callers resolve addresses again.
_MIN_RETRY_AFTER_MS = 100.0
_MAX_RETRY_AFTER_MS = 2_000.0

# The result is an attempt that has a slot, but has not been sent.
AcquireResult = expression.Result[balance.Attempt, model.Refusal]


class _Waiter:
    """A request in the queue, and the attempt once it has a slot."""

    def __init__(
        self,
        request: admittedrequest.AdmittedRequest,
        avoided_target_ids: collections.abc.Set[model.TargetId],
    ) -> None:
        self.request = request
        self.avoided_target_ids = avoided_target_ids
        self.attempt: balance.Attempt | None = None
        # Set when the request got a slot, or will get none in time.
        self.decided = anyio.Event()


class SlotAllocator:
    """Takes slots from the balancer, with a queue for each service.

    A slot is one request that a target may run at a time; the balancer
    selects the target.
    """

    def __init__(self, balancer: balance.Balancer) -> None:
        self._balancer = balancer
        self._queues: dict[model.ServiceId, requestqueue.RequestQueue] = {}
        self._waiters: dict[requestqueue.QueuedRequest, _Waiter] = {}
        self._waiter_added = anyio.Event()

    def waiting_count(self) -> int:
        """Return the number of requests in all queues."""
        return len(self._waiters)

    def try_acquire(
        self,
        request: admittedrequest.AdmittedRequest,
        avoided_target_ids: collections.abc.Set[model.TargetId],
    ) -> balance.Attempt | None:
        """Take a slot that is free now.

        Returns None if there is none, or if other requests wait for one.
        """
        queue = self._queue_for(request.service_id)
        if len(queue):
            return None
        return self._start_attempt(request, avoided_target_ids)

    async def acquire(
        self,
        request: admittedrequest.AdmittedRequest,
        avoided_target_ids: collections.abc.Set[model.TargetId],
    ) -> AcquireResult:
        """Take a slot, if necessary after a wait in the queue.

        Returns a refusal at once if the wait would be too long, and later
        if it becomes so.
        """
        attempt = self.try_acquire(request, avoided_target_ids)
        if attempt is not None:
            return expression.Ok(attempt)
        now_ms = model.now_ms()
        queue = self._queue_for(request.service_id)
        queued = requestqueue.QueuedRequest(
            priority=request.priority,
            objective_at_ms=request.arrived_at_ms + request.route.aim_ms,
            deadline_ms=request.deadline_ms,
            expected_run_ms=self._balancer.latency_estimator(
                request.route
            ).mean_ms,
        )
        pause_ms = self._balancer.pause_ms(
            request.service_id, avoided_target_ids, now_ms
        )
        if _outlasts_objective(pause_ms, queued, now_ms):
            return _refuse_paused(pause_ms)
        slot_count = max(
            self._balancer.usable_slots(request.service_id, now_ms),
            int(pause_ms > 0),
        )
        can_start = self._balancer.has_target_besides(
            request.service_id, avoided_target_ids
        )
        if not can_start or not queue.can_admit(queued, slot_count, now_ms):
            return self._refuse(queue, queued, slot_count, now_ms)
        return await self._wait_for_slot(
            queue, queued, _Waiter(request, avoided_target_ids)
        )

    def release(
        self,
        attempt: balance.Attempt,
        outcome: balance.Outcome,
        request: admittedrequest.AdmittedRequest,
    ) -> None:
        """Free the slot of an ended attempt and report its outcome."""
        self._balancer.end_attempt(
            attempt, outcome, model.now_ms(), request.route
        )
        self.assign_free_slots(attempt.service_id)

    def assign_free_slots(self, service_id: model.ServiceId) -> None:
        """Give the free slots of a service to its queued requests."""
        queue = self._queues.get(service_id)
        if queue is None or not len(queue):
            return
        for queued in queue.requests_in_order(model.now_ms()):
            waiter = self._waiters[queued]
            attempt = self._start_attempt(
                waiter.request, waiter.avoided_target_ids
            )
            if attempt is not None:
                queue.discard(queued)
                waiter.attempt = attempt
                waiter.decided.set()

    def refuse_all(self) -> None:
        """Refuse the requests in all queues."""
        for waiter in self._waiters.values():
            waiter.decided.set()

    async def run(self) -> None:
        """Assign slots and refuse late requests regularly, until cancelled."""
        while True:
            if not self._waiters:
                self._waiter_added = anyio.Event()
                await self._waiter_added.wait()
            await anyio.sleep(_CHECK_INTERVAL_S)
            for service_id in list(self._queues):
                self.assign_free_slots(service_id)
                self._refuse_late_requests(service_id)

    def _refuse_late_requests(self, service_id: model.ServiceId) -> None:
        """Refuse queued requests that will get no slot in time.

        Their callers can still go elsewhere.
        """
        now_ms = model.now_ms()
        queue = self._queue_for(service_id)
        pause_ms = self._balancer.pause_ms(service_id, (), now_ms)
        if pause_ms:
            for queued in queue.requests_in_order(now_ms):
                if _outlasts_objective(pause_ms, queued, now_ms):
                    self._waiters[queued].decided.set()
            return
        slot_count = self._balancer.usable_slots(service_id, now_ms)
        for queued in queue.requests_to_refuse(slot_count, now_ms):
            self._waiters[queued].decided.set()

    async def _wait_for_slot(
        self,
        queue: requestqueue.RequestQueue,
        queued: requestqueue.QueuedRequest,
        waiter: _Waiter,
    ) -> AcquireResult:
        """Queue a request until it gets a slot or is refused."""
        queue.add(queued)
        self._waiters[queued] = waiter
        self._waiter_added.set()
        try:
            remaining_ms = queued.latest_start_ms - model.now_ms()
            with anyio.move_on_after(max(0.0, remaining_ms) / 1_000):
                await waiter.decided.wait()
        except BaseException:
            if waiter.attempt is not None:
                self.release(
                    waiter.attempt, balance.Outcome.ABANDONED, waiter.request
                )
            raise
        finally:
            queue.discard(queued)
            del self._waiters[queued]
        if waiter.attempt is not None:
            return expression.Ok(waiter.attempt)
        now_ms = model.now_ms()
        pause_ms = self._balancer.pause_ms(
            waiter.request.service_id, waiter.avoided_target_ids, now_ms
        )
        if _outlasts_objective(pause_ms, queued, now_ms):
            return _refuse_paused(pause_ms)
        slot_count = self._balancer.usable_slots(
            waiter.request.service_id, now_ms
        )
        return self._refuse(queue, queued, slot_count, now_ms)

    def _start_attempt(
        self,
        request: admittedrequest.AdmittedRequest,
        avoided_target_ids: collections.abc.Set[model.TargetId],
    ) -> balance.Attempt | None:
        """Take a free slot from the balancer, None if there is none."""
        # Only a first attempt may be a trial of an unhealthy target, since
        # the last attempt has to succeed.
        may_be_trial = request.can_repeat and not avoided_target_ids
        return self._balancer.start_attempt(
            request.service_id,
            request.route,
            avoided_target_ids,
            may_be_trial,
            model.now_ms(),
        )

    def _queue_for(
        self, service_id: model.ServiceId
    ) -> requestqueue.RequestQueue:
        """Return the queue of a service, made on first use."""
        queue = self._queues.get(service_id)
        if queue is None:
            queue = requestqueue.RequestQueue()
            self._queues[service_id] = queue
        return queue

    @staticmethod
    def _refuse(
        queue: requestqueue.RequestQueue,
        queued: requestqueue.QueuedRequest,
        slot_count: int,
        now_ms: float,
    ) -> AcquireResult:
        """Return a refusal with the estimated wait as Retry-After."""
        wait_ms = queue.estimate_wait_ms(queued, slot_count, now_ms)
        return expression.Error(
            model.Refusal(
                model.ErrorKind.NO_CAPACITY,
                f"{len(queue)} requests wait for {slot_count} slots",
                retry_after_ms=min(
                    _MAX_RETRY_AFTER_MS, max(_MIN_RETRY_AFTER_MS, wait_ms)
                ),
            )
        )


def _outlasts_objective(
    pause_ms: float, queued: requestqueue.QueuedRequest, now_ms: float
) -> bool:
    """Return whether a request would miss its objective after a pause."""
    return (
        pause_ms > 0
        and now_ms + pause_ms + queued.expected_run_ms > queued.objective_at_ms
    )


def _refuse_paused(pause_ms: float) -> AcquireResult:
    """Return the refusal of a request whose targets all pause."""
    return expression.Error(
        model.Refusal(
            model.ErrorKind.NO_CAPACITY,
            "all targets want no requests for now",
            retry_after_ms=pause_ms,
        )
    )
