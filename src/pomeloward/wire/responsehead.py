"""Checks heads of answers for parts of a second one."""

import re

import h11
import httpx

# A parser takes a status line behind an unfinished reason or header for a
# part of that text.
_STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}")

_BODILESS_STATUSES = frozenset({204, 304})

_START = b"HTTP/"

Head = h11.Response | h11.InformationalResponse


def check(head: Head) -> None:
    """Raise ``httpx.RemoteProtocolError`` if a head consists of two.

    For example ``HTTP/1.1 200 OHTTP/1.1 500 Error`` has the status of an
    answer that broke off, and the headers of the one behind it.
    """
    texts = [head.reason, *(value for _, value in head.headers.raw_items())]
    if any(_STATUS_LINE.search(text) for text in texts):
        raise httpx.RemoteProtocolError("the head has two status lines")


def may_begin(data: bytes) -> bool:
    """Return whether bytes may be the start of a head, or a part of it."""
    return data[: len(_START)] == _START[: len(data)]


def has_known_length(method: str, head: Head) -> bool:
    """Return whether the body of an answer ends before its connection."""
    if method == "HEAD" or head.status_code in _BODILESS_STATUSES:
        return True
    return any(
        name in (b"content-length", b"transfer-encoding")
        for name, _ in head.headers
    )


def format_head(head: Head) -> bytes:
    """Return a head as it was sent, apart from spaces."""
    lines = [
        b"HTTP/1.1 %d %s" % (head.status_code, head.reason),
        *(b"%s: %s" % header for header in head.headers.raw_items()),
    ]
    return b"\r\n".join([*lines, b"", b""])
