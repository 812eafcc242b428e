"""A deterministic event loop with a paused clock."""

import collections.abc
import heapq
import itertools

Action = collections.abc.Callable[[], None]


class Loop:
    """Events in the order of their times."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, Action]] = []

    def after(self, delay_ms: float, action: Action) -> None:
        """Run an action later."""
        event = (self.now_ms + delay_ms, next(self._numbers), action)
        heapq.heappush(self._events, event)

    def run(self, until_ms: float) -> None:
        """Run all events up to a time."""
        while self._events and self._events[0][0] <= until_ms:
            self.now_ms, _, action = heapq.heappop(self._events)
            action()
