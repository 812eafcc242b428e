"""Memory that an object keeps."""

import collections.abc
import gc
import tracemalloc


def retained_mb(build: collections.abc.Callable[[], object]) -> float:
    """Return the size of what ``build`` allocates and returns."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    current, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return current / 1e6
