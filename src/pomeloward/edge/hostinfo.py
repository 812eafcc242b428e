"""Serves information on hosts: addresses, readiness and metrics."""

import collections.abc
import typing

import eliot

from pomeloward import fleet
from pomeloward import model
from pomeloward import observability

# How long callers may keep addresses. A time shorter than the fleet takes to
# detect a failed host would gain nothing; with a longer one, callers would
# keep using hosts that have stopped.
ADDRESS_LIFETIME_MS = 2_000.0

Scope = collections.abc.MutableMapping[str, typing.Any]
Send = collections.abc.Callable[
    [dict[str, typing.Any]], collections.abc.Awaitable[None]
]


class AddressLookupProtocol(typing.Protocol):
    """Paths and formats of address lookups and readiness probes.

    ``address_path`` is the path of the lookup, ``ready_path`` the path of
    the readiness probe.
    """

    address_path: str
    ready_path: str

    def parse_caller_zone(self, query: bytes) -> model.ZoneId:
        """Return the caller's availability zone from a query string."""

    def encode_addresses(
        self, addresses: collections.abc.Sequence[str], lifetime_ms: float
    ) -> bytes:
        """Return the body of a response with addresses as ``ip:port``."""


class HostInfoApplication:
    """ASGI application for address lookups, readiness and metrics."""

    def __init__(
        self,
        membership: fleet.Membership,
        caller_port: int,
        max_address_lifetime_ms: float,
        lookup_format: AddressLookupProtocol,
        metrics: observability.Metrics,
    ) -> None:
        self._membership = membership
        self._caller_port = caller_port
        self._address_lifetime_ms = min(
            ADDRESS_LIFETIME_MS, max_address_lifetime_ms
        )
        self._lookup_format = lookup_format
        self._metrics = metrics
        self._logged_addresses: dict[model.ZoneId, list[str]] = {}

    async def __call__(
        self, scope: Scope, receive: typing.Any, send: Send
    ) -> None:
        """Serve one ASGI scope."""
        if scope["type"] != "http":
            return
        path = scope["path"]
        if path == self._lookup_format.ready_path:
            is_ready = (
                self._membership.own_member.state is fleet.MemberState.READY
            )
            await _send_response(send, 200 if is_ready else 503, b"")
        elif path == self._lookup_format.address_path:
            await self._serve_addresses(scope, send)
        elif path == "/metrics":
            text = self._metrics.prometheus_text().encode("utf-8")
            await _send_response(send, 200, text, b"text/plain; version=0.0.4")
        else:
            await _send_response(send, 404, b"")

    async def _serve_addresses(self, scope: Scope, send: Send) -> None:
        """Respond with the addresses for the caller's zone, 503 if none."""
        now_ms = model.now_ms()
        zone = self._lookup_format.parse_caller_zone(
            bytes(scope["query_string"])
        )
        addresses = [
            f"{member.ip_address}:{self._caller_port}"
            for member in self._membership.members_for_callers(zone, now_ms)
        ]
        self._metrics.increment("pomeloward_address_answers_total")
        self._log_changed_addresses(zone, addresses)
        if not addresses:
            await _send_response(send, 503, b"")
            return
        body = self._lookup_format.encode_addresses(
            addresses, self._address_lifetime_ms
        )
        await _send_response(send, 200, body, b"application/json")

    def _log_changed_addresses(
        self, zone: model.ZoneId, addresses: list[str]
    ) -> None:
        """Log the hosts that callers of a zone are sent to from now on."""
        is_known = zone in self._membership.zones
        if is_known and self._logged_addresses.get(zone) != addresses:
            self._logged_addresses[zone] = addresses
            eliot.log_message(
                message_type="addresses", zone=zone, hosts=addresses
            )


async def _send_response(
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
