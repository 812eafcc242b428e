"""Parses and checks the head of a caller's request."""

import collections.abc
import dataclasses
import typing

import expression

from pomeloward import dispatch
from pomeloward import model
from pomeloward import policy as policies
from pomeloward.relay import httpconventions

# Headers that may be sent only once. Two servers might each use another copy
# of a repeated one, which allows request smuggling.
_SINGLE_HEADERS = frozenset(
    {b"authorization", b"content-length", b"host", b"transfer-encoding"}
)
_BETWEEN_HOSTS_HEADERS = frozenset(
    {httpconventions.KEY_DIGEST_HEADER, httpconventions.ATTEMPTS_LEFT_HEADER}
)
_MAX_LENGTH_DIGITS = 18
# Digits beyond these are ignored.
_MAX_TIMEOUT_DIGITS = 12
_MAX_ATTEMPTS_DIGITS = 3

Scope = collections.abc.Mapping[str, typing.Any]


@dataclasses.dataclass(slots=True)
class RequestHead:
    """The parsed request line and headers of a caller's request.

    ``host`` is in lower case and without the port. ``path`` has no query
    and is still encoded, like ``path_and_query``. ``headers`` are those
    that may be passed on to a target. ``key_digest`` is the digest of the
    caller's key, None without a key. ``timeout_ms`` is how long the caller
    waits for the response, None if it doesn't say. ``attempts_left`` is how
    many targets may get a request that another host relays, None if its route
    decides.
    """

    method: str
    host: str
    path: str
    path_and_query: bytes
    headers: dispatch.Headers
    key_digest: bytes | None
    timeout_ms: float | None
    content_length: int | None
    is_chunked: bool
    attempts_left: int | None = None

    @property
    def has_body(self) -> bool:
        """Whether the request has a body."""
        return self.is_chunked or bool(self.content_length)


def parse_request_head(
    scope: Scope,
    conventions: httpconventions.HttpConventions,
    limits: policies.CallerLimits,
) -> expression.Result[RequestHead, model.Refusal]:
    """Return the head of a request, or a refusal if it is not acceptable.

    Malformed and oversized heads are refused, and so is a Content-Length
    above the limit.
    """
    raw_path = bytes(scope["raw_path"])
    headers: dispatch.Headers = list(scope["headers"])
    head_bytes = len(raw_path) + len(scope["query_string"])
    head_bytes += sum(
        len(name) + len(value) + 4
        for name, value in headers
        if name not in _BETWEEN_HOSTS_HEADERS
    )
    if head_bytes > limits.header_bytes:
        return expression.Error(
            model.Refusal(
                model.ErrorKind.HEADERS_TOO_LARGE,
                f"the head is over {limits.header_bytes} bytes",
            )
        )
    value_of: dict[bytes, bytes] = {}
    not_forwarded = {
        b"authorization",
        conventions.request_id_header,
        conventions.timeout_ms_header,
        conventions.target_id_header,
        conventions.team_id_header,
        *_BETWEEN_HOSTS_HEADERS,
    }
    for name, value in headers:
        if name in _SINGLE_HEADERS and name in value_of:
            return _bad_request(
                f"header {name.decode('latin-1')} was sent more than once"
            )
        if name == b"connection":
            listed = {part.strip().lower() for part in value.split(b",")}
            not_forwarded |= listed - {b"content-length", b"host"}
        value_of[name] = value
    length = value_of.get(b"content-length")
    is_valid = length is None or (
        length.isdigit() and len(length) <= _MAX_LENGTH_DIGITS
    )
    if not is_valid or (length and b"transfer-encoding" in value_of):
        return _bad_request(
            "the Content-Length header is not valid, or was sent together"
            " with Transfer-Encoding"
        )
    if length is not None and int(length) > limits.body_bytes:
        return expression.Error(
            model.Refusal(
                model.ErrorKind.BODY_TOO_LARGE,
                f"the body is over {limits.body_bytes} bytes",
            )
        )
    path_and_query = raw_path
    if scope["query_string"]:
        path_and_query += b"?" + bytes(scope["query_string"])
    return expression.Ok(
        RequestHead(
            method=scope["method"],
            host=_parse_host(value_of.get(b"host", b"")),
            path=raw_path.decode("latin-1"),
            path_and_query=path_and_query,
            headers=[
                (name, value)
                for name, value in headers
                if name not in dispatch.HOP_BY_HOP
                and name not in not_forwarded
                and name != b"expect"
            ],
            key_digest=_find_key_digest(value_of, conventions),
            timeout_ms=_parse_timeout_ms(
                value_of.get(conventions.timeout_ms_header)
            ),
            content_length=int(length) if length is not None else None,
            is_chunked=b"transfer-encoding" in value_of,
            attempts_left=_find_attempts_left(value_of, conventions),
        )
    )


def find_request_id(
    scope: Scope, conventions: httpconventions.HttpConventions
) -> model.RequestId | None:
    """Return the id that the caller gave its request, None without one."""
    for name, value in scope["headers"]:
        if name == conventions.request_id_header:
            return model.RequestId(value.decode("latin-1"))
    return None


def _parse_host(host_header: bytes) -> str:
    """Return the host of a Host header, in lower case, without the port."""
    host, _, port = host_header.decode("latin-1").rpartition(":")
    if host and port.isdigit():
        return host.lower()
    return host_header.decode("latin-1").lower()


def _find_key_digest(
    value_of: collections.abc.Mapping[bytes, bytes],
    conventions: httpconventions.HttpConventions,
) -> bytes | None:
    """Return the digest of the key in an Authorization header, if any.

    Another host sends the digest itself.
    """
    if conventions.is_between_hosts:
        try:
            digest = value_of.get(httpconventions.KEY_DIGEST_HEADER, b"")
            return bytes.fromhex(digest.decode("ascii")) or None
        except ValueError:
            return None
    authorization = value_of.get(b"authorization")
    if authorization is None:
        return None
    prefix = conventions.authorization_prefix
    if authorization[: len(prefix)].lower() != prefix:
        return None
    return policies.hash_api_key(authorization[len(prefix) :].strip())


def _find_attempts_left(
    value_of: collections.abc.Mapping[bytes, bytes],
    conventions: httpconventions.HttpConventions,
) -> int | None:
    """Return the attempts that another host leaves to this one, if any."""
    value = value_of.get(httpconventions.ATTEMPTS_LEFT_HEADER, b"")
    if not conventions.is_between_hosts or not value.isdigit():
        return None
    return int(value[:_MAX_ATTEMPTS_DIGITS])


def _parse_timeout_ms(timeout_header: bytes | None) -> float | None:
    """Return the caller's timeout, None if it is missing or malformed."""
    if timeout_header is None or not timeout_header.isdigit():
        return None
    return float(timeout_header[:_MAX_TIMEOUT_DIGITS])


def _bad_request(
    detail: str,
) -> expression.Result[RequestHead, model.Refusal]:
    """Return a refusal of a malformed request."""
    return expression.Error(model.Refusal(model.ErrorKind.BAD_REQUEST, detail))
