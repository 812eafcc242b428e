"""Checks the form of a caller's request."""

import collections.abc
import dataclasses
import typing

import expression

from pomeloward import dispatch
from pomeloward import model
from pomeloward import policy as policies
from pomeloward.relay import httpconventions

# Headers that may come only once; of a repeated one, two servers could
# each believe another copy (request smuggling).
_SINGLE = frozenset(
    {b"authorization", b"content-length", b"host", b"transfer-encoding"}
)
_MAX_LENGTH_DIGITS = 18
_MAX_TIMEOUT_DIGITS = 12

Scope = collections.abc.Mapping[str, typing.Any]


@dataclasses.dataclass(slots=True)
class RequestHead:
    """What a caller's head says.

    ``digest`` is that of its key, if one came. ``timeout_ms`` is how long
    the caller waits, None if it doesn't say.
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

    @property
    def has_body(self) -> bool:
        """Whether a body follows."""
        return self.is_chunked or bool(self.content_length)


def parse_request_head(
    scope: Scope,
    dialect: httpconventions.HttpConventions,
    limits: policies.CallerLimits,
) -> expression.Result[RequestHead, model.Refusal]:
    """Read a caller's head, or refuse what is malformed or too large."""
    raw_path = bytes(scope["raw_path"])
    headers: dispatch.Headers = list(scope["headers"])
    size = len(raw_path) + len(scope["query_string"])
    size += sum(len(name) + len(value) + 4 for name, value in headers)
    if size > limits.header_bytes:
        return expression.Error(
            model.Refusal(
                model.ErrorKind.HEADERS_TOO_LARGE,
                f"the head is over {limits.header_bytes} bytes",
            )
        )
    singles: dict[bytes, bytes] = {}
    dropped = {
        b"authorization",
        dialect.request_id_header,
        dialect.timeout_ms_header,
        dialect.target_id_header,
        dialect.team_id_header,
    }
    for name, value in headers:
        if name in _SINGLE and name in singles:
            return _bad(f"{name.decode('latin-1')} came more than once")
        if name == b"connection":
            named = {part.strip().lower() for part in value.split(b",")}
            dropped |= named - {b"content-length", b"host"}
        singles[name] = value
    length = singles.get(b"content-length")
    is_valid = length is None or (
        length.isdigit() and len(length) <= _MAX_LENGTH_DIGITS
    )
    if not is_valid or (length and b"transfer-encoding" in singles):
        return _bad("the framing of the body is not valid")
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
            host=_host(singles.get(b"host", b"")),
            path=raw_path.decode("latin-1"),
            path_and_query=path_and_query,
            headers=[
                (name, value)
                for name, value in headers
                if name not in dispatch.HOP_BY_HOP
                and name not in dropped
                and name != b"expect"
            ],
            key_digest=_digest(singles.get(b"authorization"), dialect),
            timeout_ms=_timeout_ms(singles.get(dialect.timeout_ms_header)),
            content_length=int(length) if length is not None else None,
            is_chunked=b"transfer-encoding" in singles,
        )
    )


def find_request_id(
    scope: Scope, dialect: httpconventions.HttpConventions
) -> model.RequestId | None:
    """Return the id that a caller gave its request."""
    for name, value in scope["headers"]:
        if name == dialect.request_id_header:
            return model.RequestId(value.decode("latin-1"))
    return None


def _host(value: bytes) -> str:
    host, _, port = value.decode("latin-1").rpartition(":")
    if host and port.isdigit():
        return host.lower()
    return value.decode("latin-1").lower()


def _digest(
    authorization: bytes | None, dialect: httpconventions.HttpConventions
) -> bytes | None:
    if authorization is None:
        return None
    scheme = dialect.authorization_prefix
    if authorization[: len(scheme)].lower() != scheme:
        return None
    return policies.hash_api_key(authorization[len(scheme) :].strip())


def _timeout_ms(value: bytes | None) -> float | None:
    if value is None or not value.isdigit():
        return None
    return float(value[:_MAX_TIMEOUT_DIGITS])


def _bad(detail: str) -> expression.Result[RequestHead, model.Refusal]:
    return expression.Error(model.Refusal(model.ErrorKind.BAD_REQUEST, detail))
