"""A broken promise."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Violation:
    """Which promise was broken, and how it was seen."""

    promise: str
    detail: str
