"""Checks the form of a request before anything else looks at it."""

import dataclasses
import re
import typing

import expression

from pomeloward import dispatch
from pomeloward import model
from pomeloward import settings
from pomeloward.entry import callerrequest
from pomeloward.entry import separation

# Headers that may come only once; of a repeated one, two servers could
# each believe another copy (request smuggling).
_SINGLE = frozenset(
    {
        b"authorization",
        b"content-length",
        b"content-type",
        b"host",
        b"idempotency-key",
        b"pomeloward-deadline-ms",
        b"transfer-encoding",
        b"upgrade",
        b"x-api-key",
    }
)
_OWN_PREFIX = b"pomeloward-"
_METHODS = frozenset(
    {"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}
)
# Dot segments and encoded separators are read differently by different
# servers, so that a path could mean one route here and another there.
_AMBIGUOUS_PATH = re.compile(
    rb"(?:^|/)(?:\.|%2e){1,2}(?:/|;|$)|%2f|%5c|%00|\\|[\x00-\x20\x7f-\xff]",
    re.IGNORECASE,
)
_ORDER_KEY = re.compile(rb"[\x21-\x7e]{1,255}")

Scope = typing.Mapping[str, typing.Any]
Inspected = expression.Result[callerrequest.CallerRequest, model.Refusal]


@dataclasses.dataclass(slots=True)
class _Facts:
    """Headers of interest, found in one pass."""

    singles: dict[bytes, bytes]
    named_by_connection: set[bytes]


def inspect(
    scope: Scope,
    request_id: model.RequestId,
    limits: settings.Limits,
    is_key: separation.IsKey,
) -> Inspected:
    """Check a request and take its keys out, or refuse it.

    ``scope`` is that of ASGI for HTTP or a websocket.
    """
    headers: separation.Headers = list(scope["headers"])
    refusal = _check_line(scope) or _check_size(scope, headers, limits)
    if refusal is not None:
        return expression.Error(refusal)
    facts = _collect(headers)
    if isinstance(facts, model.Refusal):
        return expression.Error(facts)
    framing = _check_framing(facts, scope["http_version"], limits)
    if framing is not None:
        return expression.Error(framing)
    separated = separation.separate(
        headers, bytes(scope["query_string"]), is_key
    )
    return _build(scope, request_id, facts, separated)


def _build(
    scope: Scope,
    request_id: model.RequestId,
    facts: _Facts,
    separated: separation.Separated,
) -> Inspected:
    singles = facts.singles
    order_key = singles.get(b"idempotency-key")
    if order_key is not None and not _ORDER_KEY.fullmatch(order_key):
        return expression.Error(
            model.Refusal(
                model.ErrorKind.ORDER_KEY_INVALID,
                "Idempotency-Key must be 1 to 255 printable characters",
            )
        )
    deadline = singles.get(b"pomeloward-deadline-ms")
    if deadline is not None and not deadline.isdigit():
        return expression.Error(
            _bad("Pomeloward-Deadline-Ms must be a whole number")
        )
    length = singles.get(b"content-length")
    target_path = bytes(scope["raw_path"])
    if separated.query:
        target_path += b"?" + separated.query
    return expression.Ok(
        callerrequest.CallerRequest(
            id=request_id,
            method=scope.get("method", "GET"),
            path=scope["path"],
            target_path=target_path,
            headers=_for_target(separated.headers, facts),
            digests=separated.digests,
            http_version=scope["http_version"],
            order_key=order_key.decode("ascii") if order_key else None,
            deadline_ms=float(deadline[:12]) if deadline else None,
            content_length=int(length) if length is not None else None,
            has_body=b"transfer-encoding" in singles
            or (length is not None and int(length) > 0)
            or (scope["http_version"] == "2" and length is None),
        )
    )


def _check_line(scope: Scope) -> model.Refusal | None:
    if scope["http_version"] not in ("1.1", "2"):
        return _bad("only HTTP/1.1 and HTTP/2 are spoken here")
    if scope.get("method", "GET") not in _METHODS:
        return _bad("the method is not supported")
    path = bytes(scope["raw_path"])
    if not path.startswith(b"/"):
        return _bad("the request target must be a path")
    if _AMBIGUOUS_PATH.search(path):
        return _bad("the path has dot segments or encoded separators")
    return None


def _check_size(
    scope: Scope, headers: separation.Headers, limits: settings.Limits
) -> model.Refusal | None:
    size = len(scope["raw_path"]) + len(scope["query_string"])
    size += sum(len(name) + len(value) + 4 for name, value in headers)
    if size > limits.header_bytes or len(headers) > limits.header_count:
        return model.Refusal(
            model.ErrorKind.HEADERS_TOO_LARGE,
            f"more than {limits.header_bytes} bytes or "
            f"{limits.header_count} header lines",
        )
    return None


def _collect(headers: separation.Headers) -> _Facts | model.Refusal:
    facts = _Facts({}, set())
    for name, value in headers:
        if name in _SINGLE:
            if name in facts.singles:
                return _bad(f"{name.decode('latin-1')} came more than once")
            facts.singles[name] = value
        elif name == b"connection":
            facts.named_by_connection.update(
                part.strip().lower() for part in value.split(b",")
            )
    return facts


def _check_framing(
    facts: _Facts, http_version: str, limits: settings.Limits
) -> model.Refusal | None:
    length = facts.singles.get(b"content-length")
    coding = facts.singles.get(b"transfer-encoding")
    if coding is not None:
        if length is not None:
            return _bad("Content-Length and Transfer-Encoding exclude")
        if coding.strip().lower() != b"chunked" or http_version != "1.1":
            return _bad("the transfer coding is not supported")
    if length is None:
        return None
    if not length.isdigit() or len(length) > 18:
        return _bad("Content-Length must be a whole number")
    if int(length) > limits.body_bytes:
        return model.Refusal(
            model.ErrorKind.BODY_TOO_LARGE,
            f"the body is over {limits.body_bytes} bytes",
        )
    return None


def _for_target(
    headers: separation.Headers, facts: _Facts
) -> separation.Headers:
    """Drop the headers of the caller's connection and our own names."""
    dropped = facts.named_by_connection - {b"content-length", b"host"}
    return [
        (name, value)
        for name, value in headers
        if name not in dispatch.HOP_BY_HOP
        and name not in dropped
        and name != b"expect"
        and not name.startswith(_OWN_PREFIX)
    ]


def _bad(detail: str) -> model.Refusal:
    return model.Refusal(model.ErrorKind.BAD_REQUEST, detail)
