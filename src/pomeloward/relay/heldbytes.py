"""The bytes of answers that a host holds, and their common limit."""

import collections.abc

# The sum for all answers of a host. With 256 KiB each, 16 answers reach it.
_CAPACITY_BYTES = 4 * 1024 * 1024
# Buffered of each answer even if nothing is left, so that short answers can
# still be replaced when they end early. Connections bound their number.
_RESERVED_BYTES = 8 * 1024
# Long answers are said to be buffered again below this part of the limit. The
# gap keeps the number of changes small.
_RECOVERY_RATIO = 0.5

OnChange = collections.abc.Callable[[bool, int], None]


class HeldBytes:
    """Decides how much of an answer is buffered before it is passed on.

    While the limit is reached, an answer is passed on as it arrives instead
    of being buffered whole. None is refused, since its request may have run.
    ``on_change`` is called when that begins, with True, and when it ends,
    each time with the bytes held.
    """

    def __init__(
        self, on_change: OnChange, capacity_bytes: int = _CAPACITY_BYTES
    ) -> None:
        self.byte_count = 0
        self._on_change = on_change
        self._capacity_bytes = capacity_bytes
        self._is_exhausted = False

    def open(self) -> "HeldAnswer":
        """Return the account of one more answer."""
        return HeldAnswer(self)

    def add(self, byte_count: int) -> None:
        """Count bytes that an answer holds."""
        self.byte_count += byte_count

    def allows(self, byte_count: int) -> bool:
        """Return whether an answer that holds so many may get more."""
        if byte_count < _RESERVED_BYTES:
            return True
        if self.byte_count < self._capacity_bytes:
            return True
        self._set_exhausted(is_exhausted=True)
        return False

    def subtract(self, byte_count: int) -> None:
        """Count bytes that an answer no longer holds."""
        self.byte_count -= byte_count
        if self.byte_count <= self._capacity_bytes * _RECOVERY_RATIO:
            self._set_exhausted(is_exhausted=False)

    def _set_exhausted(self, is_exhausted: bool) -> None:
        if self._is_exhausted is not is_exhausted:
            self._is_exhausted = is_exhausted
            self._on_change(is_exhausted, self.byte_count)


class HeldAnswer:
    """Counts the bytes held of one answer until they are released."""

    def __init__(self, held_bytes: HeldBytes) -> None:
        self._held_bytes = held_bytes
        self._byte_count = 0

    def add(self, byte_count: int) -> bool:
        """Count bytes; return whether more of the answer may be buffered."""
        self._byte_count += byte_count
        self._held_bytes.add(byte_count)
        return self._held_bytes.allows(self._byte_count)

    def release(self) -> None:
        """Give all bytes back; those added later are counted anew."""
        byte_count, self._byte_count = self._byte_count, 0
        self._held_bytes.subtract(byte_count)
