"""Opens websockets to targets."""

import collections.abc
import typing

import anyio
import websockets
from websockets.asyncio import client

from pomeloward import dispatch
from pomeloward import service
from pomeloward import settings
from pomeloward.entry import callerrequest
from pomeloward.entry import grant as grants

_HANDSHAKE_PREFIX = b"sec-websocket-"
_QUEUED_MESSAGES = 8


class WebsocketTargets:
    """Connects to targets under a slot, which the handshake gives back."""

    def __init__(
        self, targets: dispatch.Targets, limits: settings.Limits
    ) -> None:
        self._targets = targets
        self._limits = limits

    async def connect(
        self,
        request: callerrequest.CallerRequest,
        grant: grants.Grant,
        hold: dispatch.SlotHold,
        subprotocols: collections.abc.Sequence[str],
    ) -> client.ClientConnection | None:
        """Open the websocket to the target; None when it fails."""
        outcome = service.Outcome.CANCELLED
        started_s = anyio.current_time()
        try:
            target = self._targets.target(grant.route.service, hold.target)
            if target is None or not hold.is_valid(started_s * 1_000):
                return None
            connection = await self._open(
                target.url, request, grant, subprotocols
            )
            outcome = service.Outcome.OK
            return connection
        except (OSError, websockets.WebSocketException) as error:
            outcome = (
                service.Outcome.CONNECT_FAILED
                if isinstance(error, OSError)
                else service.Outcome.ERROR
            )
            return None
        finally:
            latency_ms = (anyio.current_time() - started_s) * 1_000
            hold.release(outcome, latency_ms)

    async def _open(
        self,
        url: str,
        request: callerrequest.CallerRequest,
        grant: grants.Grant,
        subprotocols: collections.abc.Sequence[str],
    ) -> client.ClientConnection:
        headers = [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in request.headers
            if not name.startswith(_HANDSHAKE_PREFIX) and name != b"host"
        ]
        headers.append(("pomeloward-request-id", request.id))
        if grant.team:
            headers.append(("pomeloward-team", grant.team))
        path = request.target_path.decode("ascii")
        return await client.connect(
            "ws" + url.removeprefix("http").rstrip("/") + path,
            additional_headers=headers,
            subprotocols=typing.cast(
                "list[websockets.Subprotocol]", list(subprotocols)
            )
            or None,
            compression=None,
            user_agent_header=None,
            proxy=None,
            open_timeout=grant.route.deadline_ms / 1_000,
            max_size=self._limits.websocket_message_bytes,
            max_queue=_QUEUED_MESSAGES,
        )
