"""Draws the requests of callers."""

import itertools

from tests.platform.site import configuration
from tests.platform.site import connection
from tests.platform.site import shape as shapes


class Requests:
    """Look-ups and orders, with ids that no other process uses."""

    def __init__(self, rng, prefix):
        self._rng = rng
        self._prefix = prefix
        self._numbers = itertools.count(1)

    def draw(self):
        """Return a request; orders have a body by length or in chunks."""
        prefix, method, is_order, _ = self._rng.choices(
            configuration.ROUTES, weights=(2.0, 4.7, 1.4, 1.2)
        )[0]
        request = f"{self._prefix}-{next(self._numbers):06}"
        path = f"{prefix}{request}"
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {shapes.HOST_NAME}",
            f"X-Request-Id: {request}",
            "X-Timeout-Ms: 3000",
            f"Authorization: Token {shapes.KEY}",
        ]
        framed = b""
        if is_order:
            body = b"b" * min(int(self._rng.lognormvariate(6, 1)), 24_000)
            if self._rng.random() < 0.3:
                lines.append("Transfer-Encoding: chunked")
                framed = b"%x\r\n%b\r\n0\r\n\r\n" % (
                    len(body) + 1,
                    b"c" + body,
                )
            else:
                lines.append(f"Content-Length: {len(body)}")
                framed = body
        head = "\r\n".join([*lines, "", ""]).encode()
        return connection.Request(
            request, method, path, is_order, head + framed
        )
