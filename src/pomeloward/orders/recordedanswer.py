"""The answer to an order, as it is kept for repeats."""

import msgspec

# A larger answer is not kept; a repeat of its order is told `unknown`.
MAX_ANSWER_BYTES = 65_536


class RecordedAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Status, headers and body of a target's answer."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes

    @property
    def size_bytes(self) -> int:
        """The size of headers and body."""
        return len(self.body) + sum(
            len(name) + len(value) for name, value in self.headers
        )
