"""The pages that answer where to connect, and how the host is."""

import collections.abc
import typing

from pomeloward import fleet
from pomeloward import model
from pomeloward import observability

# Callers keep an answer for this long. Shorter than the failure detection
# of the fleet would gain nothing, longer would leave callers at hosts that
# have stopped.
ADDRESS_MS = 2_000.0

Scope = collections.abc.MutableMapping[str, typing.Any]
Send = collections.abc.Callable[
    [dict[str, typing.Any]], collections.abc.Awaitable[None]
]


class DirectoryFormat(typing.Protocol):
    """How callers ask for addresses, and how they are told."""

    address_path: str
    ready_path: str

    def caller_zone(self, query: bytes) -> model.ZoneId:
        """Return the availability zone of a caller that asks."""

    def addresses(
        self, hosts: collections.abc.Sequence[str], lifetime_ms: float
    ) -> bytes:
        """Return the body that names where to connect."""


class Pages:
    """Serves the address answer, readiness and metrics."""

    def __init__(
        self,
        roster: fleet.Membership,
        caller_port: int,
        address_ms: float,
        directory: DirectoryFormat,
        metrics: observability.Metrics,
    ) -> None:
        self._roster = roster
        self._caller_port = caller_port
        self._address_ms = min(ADDRESS_MS, address_ms)
        self._directory = directory
        self._metrics = metrics

    async def __call__(
        self, scope: Scope, receive: typing.Any, send: Send
    ) -> None:
        """Serve one ASGI scope."""
        if scope["type"] != "http":
            return
        path = scope["path"]
        if path == self._directory.ready_path:
            is_ready = self._roster.own_member.state is fleet.MemberState.READY
            await _send(send, 200 if is_ready else 503, b"")
        elif path == self._directory.address_path:
            await self._resolve(scope, send)
        elif path == "/metrics":
            text = self._metrics.prometheus_text().encode("utf-8")
            await _send(send, 200, text, b"text/plain; version=0.0.4")
        else:
            await _send(send, 404, b"")

    async def _resolve(self, scope: Scope, send: Send) -> None:
        now_ms = model.now_ms()
        zone = self._directory.caller_zone(bytes(scope["query_string"]))
        hosts = [
            f"{one.ip_address}:{self._caller_port}"
            for one in self._roster.members_for_callers(zone, now_ms)
        ]
        self._metrics.increment("pomeloward_address_answers_total")
        if not hosts:
            await _send(send, 503, b"")
            return
        body = self._directory.addresses(hosts, self._address_ms)
        await _send(send, 200, body, b"application/json")


async def _send(
    send: Send, status: int, body: bytes, content_type: bytes = b"text/plain"
) -> None:
    headers = [
        (b"content-type", content_type),
        (b"content-length", b"%d" % len(body)),
    ]
    await send(
        {"type": "http.response.start", "status": status, "headers": headers}
    )
    await send(
        {"type": "http.response.body", "body": body, "more_body": False}
    )
