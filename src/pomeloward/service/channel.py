"""A host's exchange with the controller of one service."""

import collections.abc

import anyio

from pomeloward import model
from pomeloward.service import hostslots
from pomeloward.service import messages
from pomeloward.service import outcome as outcome_
from pomeloward.service import slothold
from pomeloward.service import tuning as tuning_

# Sends a report to the service's controller; None when none answered.
Send = collections.abc.Callable[
    [messages.Report], collections.abc.Awaitable[messages.Answer | None]
]

# Idle slots go back after this long: a round trip within a region is 1 to
# 2 ms, so a burst of requests does not return and ask for each slot.
_RETURN_MS = 20.0
# Reports of one host for one service are at least this far apart.
_GAP_MS = 2.0
# Time without demand and slots after which reports cease.
_QUIET_MS = 10_000.0


class Channel:
    """Reports every ``report_ms``, and at once when slots are needed.

    A host without slots, demand and evidence reports every
    ``idle_report_ms``.
    """

    def __init__(
        self,
        slots: hostslots.HostSlots,
        tuning: tuning_.Tuning,
        clock: collections.abc.Callable[[], float],
    ) -> None:
        self.slots = slots
        self.on_slots: list[collections.abc.Callable[[], None]] = []
        self._tuning = tuning
        self._clock = clock
        self._due = anyio.Event()
        self._active_ms = clock()

    def acquire(
        self,
        route: model.RouteId,
        team: model.TeamId,
        avoid: collections.abc.Set[model.TargetId],
    ) -> slothold.SlotHold | None:
        """Take an idle slot if there is one."""
        taken = self.slots.acquire(route, team, avoid, self._clock())
        if taken is None:
            return None
        run, target = taken
        return slothold.SlotHold(self, run, target)

    def wanted(
        self, waiting: collections.abc.Mapping[model.TeamId, int]
    ) -> None:
        """Set what waits; ask at once if the slots do not meet it."""
        was_short = self.slots.is_short(self._clock())
        grew = sum(waiting.values()) > sum(self.slots.waiting.values())
        self.slots.waiting = dict(waiting)
        is_short = self.slots.is_short(self._clock())
        if is_short and (grew or not was_short):
            self.report_now()

    def report_now(self) -> None:
        """Report as soon as the exchange under way is over."""
        self._due.set()

    def may_start(self, target: model.TargetId, now_ms: float) -> bool:
        """Tell whether a request may start at a target now."""
        return self.slots.may_start(target, now_ms)

    def end(
        self, run: int, outcome: outcome_.Outcome, latency_ms: float
    ) -> None:
        """Take the slot of a run back and let the next request have it."""
        self.slots.release(run, outcome, latency_ms, self._clock())
        if outcome is outcome_.Outcome.CONNECT_FAILED:
            self.report_now()
        self._offer()

    def is_quiet(self) -> bool:
        """Tell whether the host had nothing to do with the service lately."""
        now_ms = self._clock()
        if self.slots.is_busy() or self.slots.has_excess(now_ms):
            self._active_ms = now_ms
        return now_ms - self._active_ms > _QUIET_MS

    async def run(self, send: Send) -> None:
        """Report until cancelled."""
        while True:
            await self._wait()
            self._due = anyio.Event()
            if self.is_quiet():
                continue
            answer = await send(self.slots.report(self._clock()))
            if answer is not None:
                if self.slots.apply(answer):
                    self.report_now()
                self._offer()
            await anyio.sleep(_GAP_MS / 1000)

    async def _wait(self) -> None:
        asked_ms = self._clock()
        while True:
            now_ms = self._clock()
            left_ms = asked_ms + self._interval_ms() - now_ms
            if left_ms <= 0:
                return
            if self.slots.has_excess(now_ms):
                left_ms = min(left_ms, _RETURN_MS)
            had_excess = self.slots.has_excess(now_ms)
            with anyio.move_on_after(left_ms / 1000):
                await self._due.wait()
                return
            if had_excess and self.slots.has_excess(self._clock()):
                return

    def _interval_ms(self) -> float:
        if self.slots.is_idle():
            return self._tuning.idle_report_ms
        return self._tuning.report_ms

    def _offer(self) -> None:
        for callback in self.on_slots:
            callback()
