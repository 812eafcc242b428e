"""Serves the application with hypercorn inside the host's loop."""

import collections.abc
import typing

import hypercorn.asyncio
import hypercorn.config

from pomeloward import settings
from pomeloward.entry import application

# More requests per connection than any caller sends; a bound would only
# make callers connect again.
_REQUESTS_PER_CONNECTION = 2**62
# hypercorn cuts what is still open this long after its trigger; the drain
# triggers only after all open work has ended.
_CLOSE_S = 2.0


async def serve(
    app: application.Application,
    host_settings: settings.Settings,
    stop: collections.abc.Callable[[], collections.abc.Awaitable[None]],
) -> None:
    """Accept callers until ``stop`` returns."""
    limits = host_settings.limits
    config = hypercorn.config.Config()
    address = host_settings.address
    config.bind = [f"{address}:{host_settings.caller_port}"]
    config.accesslog = None
    config.errorlog = None
    config.include_server_header = False
    config.backlog = 1_024
    # Larger than the limit that refuses with an explanation, so that only
    # far larger heads meet the server's bare refusal.
    config.h11_max_incomplete_size = limits.header_bytes * 2
    config.h2_max_header_list_size = limits.header_bytes * 2
    config.keep_alive_timeout = limits.keep_alive_ms / 1_000
    config.keep_alive_max_requests = _REQUESTS_PER_CONNECTION
    config.websocket_max_message_size = limits.websocket_message_bytes
    config.graceful_timeout = _CLOSE_S
    await hypercorn.asyncio.serve(
        typing.cast("typing.Any", app),
        config,
        shutdown_trigger=stop,
        mode="asgi",
    )
