"""Separates callers' keys from everything that goes to a target."""

import collections.abc
import dataclasses
import hashlib
import re
import urllib.parse

KEY_HEADERS = frozenset(
    {b"authorization", b"proxy-authorization", b"x-api-key"}
)
KEY_NAMES = frozenset({b"key", b"api_key", b"access_token"})
_BEARER = b"bearer "
# Shorter values are no keys; comparing them would drop harmless headers.
_LEAST_KEY_BYTES = 8
# Headers that every client sends and that never carry a bare key.
_COMMON = frozenset(
    {
        b"accept",
        b"accept-encoding",
        b"accept-language",
        b"cache-control",
        b"connection",
        b"content-length",
        b"content-type",
        b"host",
        b"idempotency-key",
        b"te",
        b"transfer-encoding",
        b"user-agent",
    }
)

# What stands between the parts of list-valued headers.
_SEPARATORS = re.compile(rb"[\s,;=\"']+")

Headers = list[tuple[bytes, bytes]]
IsKey = collections.abc.Callable[[bytes], bool]


@dataclasses.dataclass(frozen=True, slots=True)
class Separated:
    """A request's headers and query without keys, and the keys' digests.

    The keys themselves are not kept.
    """

    headers: Headers
    query: bytes
    digests: frozenset[bytes]


def separate(headers: Headers, query: bytes, is_key: IsKey) -> Separated:
    """Take the keys out of a request's headers, cookies and query.

    A key is taken from where keys belong. Any other header, cookie or query
    parameter that repeats such a key, or whose value is a granted key by
    ``is_key`` (of a SHA-256 digest), is dropped too.
    """
    keys: set[bytes] = set()
    kept: Headers = []
    cookies: list[tuple[bytes, bytes]] = []
    for name, value in headers:
        if name in KEY_HEADERS:
            _add(keys, _credential(name, value))
        elif name == b"cookie":
            cookies.extend(_cookie_pairs(value))
        else:
            kept.append((name, value))
    params = _query_pairs(query)
    for name, value, _ in params:
        if name in KEY_NAMES:
            _add(keys, value)
    for name, value in cookies:
        if name.lower() in KEY_NAMES:
            _add(keys, value)
    scrub = _Scrub(keys, is_key)
    clean = [
        pair
        for pair in kept
        if pair[0] in _COMMON or not scrub.carries_key(pair[1])
    ]
    clean.extend(_clean_cookies(cookies, scrub))
    return Separated(
        clean,
        b"&".join(
            raw
            for name, value, raw in params
            if name not in KEY_NAMES and not scrub.carries_key(value)
        ),
        frozenset(hashlib.sha256(key).digest() for key in keys),
    )


class _Scrub:
    """Recognizes values that carry a key."""

    def __init__(self, keys: set[bytes], is_key: IsKey) -> None:
        self._keys = [key for key in keys if len(key) >= _LEAST_KEY_BYTES]
        self._is_key = is_key

    def carries_key(self, value: bytes) -> bool:
        """Tell whether a value contains a key of this request or is one."""
        if any(key in value for key in self._keys):
            return True
        for token in {*value.split(), *_SEPARATORS.split(value)}:
            if len(token) >= _LEAST_KEY_BYTES and self._is_key(
                hashlib.sha256(token).digest()
            ):
                return True
        decoded = urllib.parse.unquote_to_bytes(value)
        return decoded != value and self.carries_key(decoded)


def _add(keys: set[bytes], value: bytes) -> None:
    if value:
        keys.add(value)


def _credential(name: bytes, value: bytes) -> bytes:
    if name == b"x-api-key":
        return value.strip()
    if value[: len(_BEARER)].lower() == _BEARER:
        return value[len(_BEARER) :].strip()
    return b""


def _cookie_pairs(value: bytes) -> list[tuple[bytes, bytes]]:
    pairs = []
    for part in value.split(b";"):
        name, _, content = part.strip().partition(b"=")
        if name:
            pairs.append((name.strip(), content.strip().strip(b'"')))
    return pairs


def _clean_cookies(
    cookies: list[tuple[bytes, bytes]], scrub: _Scrub
) -> Headers:
    kept = [
        name + b"=" + value
        for name, value in cookies
        if name.lower() not in KEY_NAMES and not scrub.carries_key(value)
    ]
    return [(b"cookie", b"; ".join(kept))] if kept else []


def _query_pairs(query: bytes) -> list[tuple[bytes, bytes, bytes]]:
    """Return name, decoded value and raw text of each parameter."""
    pairs = []
    for raw in query.split(b"&"):
        if not raw:
            continue
        name, _, value = raw.replace(b"+", b" ").partition(b"=")
        decoded_name = urllib.parse.unquote_to_bytes(name).strip().lower()
        pairs.append((decoded_name, urllib.parse.unquote_to_bytes(value), raw))
    return pairs
