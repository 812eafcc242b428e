"""One measured figure of one run."""

import msgspec


class Figure(msgspec.Struct, frozen=True):
    """A figure with its bound.

    ``way`` is the version or baseline that was measured, ``place`` whether
    it was a live fleet or the model. ``bound`` is the stated target; a value
    at or below it holds, or at or above it where ``is_floor``.
    """

    deployment: str
    measure: str
    way: str
    place: str
    seed: int
    value: float
    unit: str
    bound: float | None = None
    is_floor: bool = False
