"""Bytes on a connection that belong to no request."""

import dataclasses
import enum
import re
import typing

from pomeloward.wire import connectionuse

# An answer's head usually fits.
MAX_INSPECTED_BYTES = 1_024
_STATUS_LINE = re.compile(rb"HTTP/1\.\d (\d{3})")


class Place(enum.Enum):
    """Where stray bytes were found on their connection."""

    BEHIND_ANSWER = "behind_answer"
    IDLE = "idle"
    BEFORE_ANSWER = "before_answer"


@dataclasses.dataclass(frozen=True, slots=True)
class StrayBytes:
    """What is known of stray bytes.

    ``use`` is the last use of the connection before them. ``byte_count``
    counts what was read, which may not be all. ``start`` has the first
    bytes.
    """

    use: connectionuse.ConnectionUse
    place: Place
    byte_count: int
    start: bytes

    @property
    def status(self) -> int:
        """The status, if the bytes start like an answer, and 0 otherwise."""
        found = _STATUS_LINE.match(self.start)
        return int(found.group(1)) if found is not None else 0

    def find_header(self, name: bytes) -> bytes | None:
        """Return the value of a header, None if it isn't whole.

        ``name`` is in lower case.
        """
        *lines, _ = self.start.split(b"\r\n")
        for line in lines[1:]:
            line_name, _, value = line.partition(b":")
            if line_name.lower() == name:
                return value.strip()
        return None


class StrayObserver(typing.Protocol):
    """Is told of stray bytes."""

    def __call__(self, stray: StrayBytes) -> None:
        """Note bytes that were found on a connection."""
