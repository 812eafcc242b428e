"""The connections of this host to one target."""

import httpx


class Link:
    """A target's pool of connections and its parsed address.

    ``open_count`` is the number of attempts and answers that use the pool.
    Its connections are not used again after ``max_idle_ms``.
    """

    def __init__(
        self,
        url: str,
        transport: httpx.AsyncBaseTransport,
        now_ms: float,
        max_idle_ms: float,
    ) -> None:
        self.url = url
        self.base = httpx.URL(url)
        self.transport = transport
        self.open_count = 0
        self.used_ms = now_ms
        self.max_idle_ms = max_idle_ms

    def enter(self, now_ms: float) -> None:
        """Note that an attempt begins."""
        self.open_count += 1
        self.used_ms = now_ms

    def leave(self, now_ms: float) -> None:
        """Note that an attempt, or its answer, has ended."""
        self.open_count -= 1
        self.used_ms = now_ms

    def is_idle(self, now_ms: float, idle_ms: float) -> bool:
        """Tell whether nothing used the pool for a while."""
        return self.open_count == 0 and now_ms - self.used_ms > idle_ms
