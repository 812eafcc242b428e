"""The answers of targets, as bytes."""

import dataclasses
import email.utils

from tests.platform.site import records

REASONS = {
    200: "OK",
    421: "Misdirected Request",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


@dataclasses.dataclass(frozen=True)
class Answer:
    """An answer, and what a record tells of it."""

    request: str
    status: int
    signature: str
    body: bytes
    data: bytes
    head_bytes: int

    def record(self):
        return {
            "id": self.request,
            "status": self.status,
            "signature": self.signature,
            "hash": records.digest(self.body),
        }


def make(request, status, signature, body, extra=(), is_chunked=False):
    """Return an answer; without an id where ``request`` is empty."""
    lines = [
        f"HTTP/1.1 {status} {REASONS[status]}",
        f"Date: {email.utils.formatdate(usegmt=True)}",
    ]
    if request:
        lines.append(f"X-Request-Id: {request}")
    if signature:
        lines.append(f"X-Upstream-Signature: {signature}")
    lines.extend(extra)
    if is_chunked:
        lines.append("Transfer-Encoding: chunked")
        framed = _chunks(body)
    else:
        lines.append(f"Content-Length: {len(body)}")
        framed = body
    head = "\r\n".join([*lines, "", ""]).encode()
    return Answer(request, status, signature, body, head + framed, len(head))


def _chunks(body):
    half = len(body) // 2
    parts = [part for part in (body[:half], body[half:]) if part]
    framed = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)
    return framed + b"0\r\n\r\n"
