"""Log output that never blocks the process that writes it."""

import collections
import collections.abc
import os
import time

# Lines buffered for a slow reader; 0.8 MB at 400 bytes a line.
_MAX_BUFFERED_LINES = 2_000
# The busiest host serves a few hundred requests/s at its daily peak, and
# writes a line for each.
_MAX_LINES_PER_S = 500.0
_MAX_BURST_LINES = 1_000.0


class NonblockingLogWriter:
    """Writes log lines to a file descriptor without blocking.

    Lines above the rate limit, and lines that don't fit in the buffer, are
    dropped; a ``log:dropped`` message before the next line holds their
    number. The class has the methods that eliot needs of a file.
    """

    def __init__(
        self,
        file_descriptor: int,
        clock_s: collections.abc.Callable[[], float] = time.monotonic,
    ) -> None:
        """Make the descriptor non-blocking; ``clock_s`` returns seconds.

        The clock of the event loop can't be used, because lines are also
        written before the loop runs.
        """
        self._file_descriptor = file_descriptor
        self._clock_s = clock_s
        self._buffered_lines: collections.deque[bytes] = collections.deque()
        self._dropped_count = 0
        self._tokens = _MAX_BURST_LINES
        self._refilled_at_s = self._clock_s()
        os.set_blocking(file_descriptor, False)

    def write(self, line: bytes) -> int:
        """Buffer one line, which ends with a line feed, and flush."""
        if not line:
            return 0
        if (
            not self._may_write()
            or len(self._buffered_lines) >= _MAX_BUFFERED_LINES
        ):
            self._dropped_count += 1
            return len(line)
        if self._dropped_count:
            dropped_message = b'{"message_type":"log:dropped","lines":%d}\n'
            self._buffered_lines.append(dropped_message % self._dropped_count)
            self._dropped_count = 0
        self._buffered_lines.append(line)
        self.flush()
        return len(line)

    def flush(self) -> None:
        """Write buffered lines until the descriptor would block."""
        while self._buffered_lines:
            line = self._buffered_lines[0]
            try:
                written_bytes = os.write(self._file_descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # Nothing reads the log any more, so no line can report it.
                self._buffered_lines.clear()
                return
            if written_bytes < len(line):
                self._buffered_lines[0] = line[written_bytes:]
                return
            self._buffered_lines.popleft()

    def _may_write(self) -> bool:
        """Take a token of the rate limit; return whether one was left."""
        now_s = self._clock_s()
        added_tokens = (now_s - self._refilled_at_s) * _MAX_LINES_PER_S
        self._tokens = min(_MAX_BURST_LINES, self._tokens + added_tokens)
        self._refilled_at_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
