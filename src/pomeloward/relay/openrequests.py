"""The requests that a host has not answered yet."""

from pomeloward import model


class OpenRequests:
    """Counts open requests, and when the last one ended."""

    def __init__(self) -> None:
        self.count = 0
        self.started_count = 0
        self.last_ended_at_ms = float("-inf")

    def count_started(self) -> None:
        """Note a request that was read."""
        self.count += 1
        self.started_count += 1

    def count_ended(self) -> None:
        """Note a request that was answered, or whose caller has left."""
        self.count -= 1
        self.last_ended_at_ms = model.now_ms()

    def is_idle(self, quiet_ms: float, now_ms: float) -> bool:
        """Tell whether nothing was open for a while."""
        return not self.count and now_ms - self.last_ended_at_ms >= quiet_ms
