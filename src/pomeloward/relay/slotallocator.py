"""Gives requests slots of targets, in the order of the line."""

import collections.abc

import anyio
import expression

from pomeloward import balance
from pomeloward import model
from pomeloward import requestqueue
from pomeloward.relay import admittedrequest

# Room also comes by the passing of time: a pause after a shed, the rate of
# a cold target.
_LOOK_S = 0.02
# Bounds of the time after which a refused caller returns: about one run of a
# short route, and the time in which callers ask for addresses again.
_LEAST_RETRY_MS = 100.0
_MOST_RETRY_MS = 2_000.0

Placed = expression.Result[balance.Attempt, model.Refusal]


class _Waiter:
    """A call in line, and the slot it got."""

    def __init__(
        self,
        call: admittedrequest.AdmittedRequest,
        avoid: collections.abc.Set[model.TargetId],
    ) -> None:
        self.call = call
        self.avoid = avoid
        self.run: balance.Attempt | None = None
        # Set when the call got a slot, or can't get one in time.
        self.is_decided = anyio.Event()


class SlotAllocator:
    """Joins the balancer to the lines of the services."""

    def __init__(self, balancer: balance.Balancer) -> None:
        self._balancer = balancer
        self._lines: dict[model.ServiceId, requestqueue.RequestQueue] = {}
        self._waiters: dict[requestqueue.QueuedRequest, _Waiter] = {}
        self._some_waiting = anyio.Event()

    def waiting_count(self) -> int:
        """Return the number of requests in line."""
        return len(self._waiters)

    def try_acquire(
        self,
        call: admittedrequest.AdmittedRequest,
        avoid: collections.abc.Set[model.TargetId],
    ) -> balance.Attempt | None:
        """Take a slot that is free now, unless others wait for it."""
        line = self._line(call.service)
        if len(line):
            return None
        return self._start(call, avoid)

    async def acquire(
        self,
        call: admittedrequest.AdmittedRequest,
        avoid: collections.abc.Set[model.TargetId],
    ) -> Placed:
        """Wait for a slot, or refuse at once what can't be in time."""
        run = self.try_acquire(call, avoid)
        if run is not None:
            return expression.Ok(run)
        now_ms = model.now_ms()
        line = self._line(call.service)
        ticket = requestqueue.QueuedRequest(
            priority=call.priority,
            objective_at_ms=call.arrived_at_ms + call.route.aim_ms,
            deadline_ms=call.deadline_ms,
            expected_run_ms=self._balancer.latency_estimator(
                call.route
            ).mean_ms,
        )
        slots = self._balancer.usable_slots(call.service, now_ms)
        if not line.can_admit(ticket, slots, now_ms):
            return self._refused(line, ticket, slots, now_ms)
        return await self._wait(line, ticket, _Waiter(call, avoid))

    def release(
        self,
        run: balance.Attempt,
        ending: balance.Outcome,
        call: admittedrequest.AdmittedRequest,
    ) -> None:
        """Give a slot back, with the evidence of the run."""
        self._balancer.end_attempt(run, ending, model.now_ms(), call.route)
        self.assign_free_slots(run.service_id)

    def assign_free_slots(self, service: model.ServiceId) -> None:
        """Give free slots to the line of a service."""
        line = self._lines.get(service)
        if line is None or not len(line):
            return
        for ticket in line.requests_in_order(model.now_ms()):
            waiter = self._waiters[ticket]
            run = self._start(waiter.call, waiter.avoid)
            if run is not None:
                line.discard(ticket)
                waiter.run = run
                waiter.is_decided.set()

    async def run(self) -> None:
        """Serve the lines as time passes, until cancelled."""
        while True:
            if not self._waiters:
                self._some_waiting = anyio.Event()
                await self._some_waiting.wait()
            await anyio.sleep(_LOOK_S)
            for service in list(self._lines):
                self.assign_free_slots(service)
                self._refuse_overdue(service)

    def _refuse_overdue(self, service: model.ServiceId) -> None:
        """Let calls that can't be in time go elsewhere while they can."""
        now_ms = model.now_ms()
        slots = self._balancer.usable_slots(service, now_ms)
        for ticket in self._line(service).requests_to_refuse(slots, now_ms):
            self._waiters[ticket].is_decided.set()

    async def _wait(
        self,
        line: requestqueue.RequestQueue,
        ticket: requestqueue.QueuedRequest,
        waiter: _Waiter,
    ) -> Placed:
        line.add(ticket)
        self._waiters[ticket] = waiter
        self._some_waiting.set()
        try:
            left_ms = ticket.latest_start_ms - model.now_ms()
            with anyio.move_on_after(max(0.0, left_ms) / 1_000):
                await waiter.is_decided.wait()
        except BaseException:
            if waiter.run is not None:
                self.release(
                    waiter.run, balance.Outcome.ABANDONED, waiter.call
                )
            raise
        finally:
            line.discard(ticket)
            del self._waiters[ticket]
        if waiter.run is not None:
            return expression.Ok(waiter.run)
        now_ms = model.now_ms()
        slots = self._balancer.usable_slots(waiter.call.service, now_ms)
        return self._refused(line, ticket, slots, now_ms)

    def _start(
        self,
        call: admittedrequest.AdmittedRequest,
        avoid: collections.abc.Set[model.TargetId],
    ) -> balance.Attempt | None:
        # Only a first attempt may be a trial; the last one has to succeed.
        may_try = call.can_repeat and not avoid
        return self._balancer.start_attempt(
            call.service, call.route, avoid, may_try, model.now_ms()
        )

    def _line(self, service: model.ServiceId) -> requestqueue.RequestQueue:
        found = self._lines.get(service)
        if found is None:
            found = requestqueue.RequestQueue()
            self._lines[service] = found
        return found

    @staticmethod
    def _refused(
        line: requestqueue.RequestQueue,
        ticket: requestqueue.QueuedRequest,
        slots: int,
        now_ms: float,
    ) -> Placed:
        wait_ms = line.estimate_wait_ms(ticket, slots, now_ms)
        return expression.Error(
            model.Refusal(
                model.ErrorKind.NO_CAPACITY,
                f"{len(line)} requests wait for {slots} slots",
                retry_after_ms=min(
                    _MOST_RETRY_MS, max(_LEAST_RETRY_MS, wait_ms)
                ),
            )
        )
