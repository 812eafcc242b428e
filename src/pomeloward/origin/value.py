"""A value of the platform's configuration service."""

import dataclasses

# The platform holds no value above this size, in bytes.
MAX_VALUE_BYTES = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Value:
    """The bytes of a value and the number of its last write."""

    version: int
    payload: bytes
