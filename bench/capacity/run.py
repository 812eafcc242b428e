"""What a measurement needs to know."""

import dataclasses

from bench.capacity import transport


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """The seed, the time to spend, and the cost of messages."""

    seed: int
    is_quick: bool
    transport: transport.Transport
