"""A log file that never blocks its process."""

import collections
import collections.abc
import os
import time

# Lines that wait for a slow reader; at 400 bytes a line this is 0.8 MB.
_MAX_WAITING = 2_000
# A day's busiest host serves some hundred requests/s, with a line each.
_LINES_PER_S = 500.0
_BURST_LINES = 1_000.0


class NonblockingLogWriter:
    """Writes lines to a descriptor as far as its reader keeps up.

    Lines above the rate, or that find no room, are dropped and counted; the
    count goes out with the next line. It has the interface of a file that
    eliot needs.
    """

    def __init__(
        self,
        descriptor: int,
        clock: collections.abc.Callable[[], float] = time.monotonic,
    ) -> None:
        """Write to a descriptor; ``clock`` returns seconds.

        Lines are written before the loop runs too, so that its clock can't
        be used here.
        """
        self._descriptor = descriptor
        self._clock = clock
        self._waiting: collections.deque[bytes] = collections.deque()
        self._dropped = 0
        self._allowance = _BURST_LINES
        self._filled_s = self._clock()
        os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> int:
        """Take one line; eliot ends it with a line feed."""
        if not line:
            return 0
        if not self._may_write() or len(self._waiting) >= _MAX_WAITING:
            self._dropped += 1
            return len(line)
        if self._dropped:
            note = b'{"message_type":"log:dropped","lines":%d}\n'
            self._waiting.append(note % self._dropped)
            self._dropped = 0
        self._waiting.append(line)
        self.flush()
        return len(line)

    def flush(self) -> None:
        """Write what the descriptor takes now."""
        while self._waiting:
            line = self._waiting[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone; there is nowhere to tell it.
                self._waiting.clear()
                return
            if written < len(line):
                self._waiting[0] = line[written:]
                return
            self._waiting.popleft()

    def _may_write(self) -> bool:
        now_s = self._clock()
        grown = (now_s - self._filled_s) * _LINES_PER_S
        self._allowance = min(_BURST_LINES, self._allowance + grown)
        self._filled_s = now_s
        if self._allowance < 1.0:
            return False
        self._allowance -= 1.0
        return True
