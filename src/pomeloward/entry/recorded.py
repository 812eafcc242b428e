"""The recorded answer of an order."""

import msgspec


class RecordedAnswer(msgspec.Struct, frozen=True):
    """An answer that is given again to each repeat of an order."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
