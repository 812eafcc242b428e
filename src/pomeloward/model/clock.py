"""The monotonic clock of the event loop, in milliseconds."""

import anyio


def now_ms() -> float:
    """Return the event loop's time; tests may run it on a mock clock."""
    return anyio.current_time() * 1_000
