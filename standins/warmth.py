"""How much a target bears while it warms up."""


class Warmth:
    """Concurrency that a target bears, from one slot up to all of them.

    A cold target doubles what it bears after each ``step_ms`` in which it
    served something. More than it bears makes it fall over: it starts cold
    again, and the overload is counted.
    """

    def __init__(self, slots: int, step_ms: float) -> None:
        self.slots = slots
        self.step_ms = step_ms
        self.bears = slots
        self.overload_count = 0
        self._stepped_at_ms = 0.0

    def chill(self, now_ms: float) -> None:
        """Fall back to a cold start."""
        self.bears = 1
        self._stepped_at_ms = now_ms

    def is_step_due(self, now_ms: float) -> bool:
        """Tell whether the next request doubles what the target bears."""
        return (
            self.bears < self.slots
            and now_ms - self._stepped_at_ms >= self.step_ms
        )

    def serve(self, running: int, now_ms: float) -> bool:
        """Note one request that starts; return whether it is borne."""
        if self.bears < self.slots:
            if running > self.bears:
                self.overload_count += 1
                self.chill(now_ms)
                return False
            if self.is_step_due(now_ms):
                self.bears = min(self.slots, self.bears * 2)
                self._stepped_at_ms = now_ms
        return True
