"""Checks and cleans the head of a target's answer."""

import collections.abc
import re

import httpx

from pomeloward.dispatch import request as requests

# Headers of one connection (RFC 9110, section 7.6.1), which a proxy must
# not pass on.
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
_BODYLESS = frozenset({204, 304})
_IDLE_TIME = re.compile(r"\btimeout\s*=\s*(\d{1,6})\b", re.IGNORECASE)


def has_known_length(method: str, response: httpx.Response) -> bool:
    """Tell whether the end of an answer's body can be recognized.

    A body that only ends with its connection looks the same when it is cut
    short, so that it can never be passed on as whole.
    """
    if method == "HEAD" or response.status_code in _BODYLESS:
        return True
    headers = response.headers
    return "content-length" in headers or (
        headers.get("transfer-encoding", "").lower() == "chunked"
    )


def clean(
    raw_headers: collections.abc.Iterable[tuple[bytes, bytes]],
) -> requests.Headers:
    """Drop the headers that belong to the target's connection."""
    named: set[bytes] = set()
    lowered = [(name.lower(), value) for name, value in raw_headers]
    for name, value in lowered:
        if name == b"connection":
            named.update(part.strip().lower() for part in value.split(b","))
    return [
        (name, value)
        for name, value in lowered
        if name not in HOP_BY_HOP and name not in named
    ]


def announced_idle_ms(headers: httpx.Headers) -> float | None:
    """Return how long a target keeps its idle connections, if it tells.

    ``Keep-Alive: timeout=5, max=100`` announces 5,000 ms.
    """
    found = _IDLE_TIME.search(headers.get("keep-alive", ""))
    return int(found.group(1)) * 1_000.0 if found is not None else None
