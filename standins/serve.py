"""Serves ASGI applications until the process is terminated."""

import asyncio
import signal

import hypercorn.asyncio
import hypercorn.config

from standins import asgi


async def serve(binds: list[tuple[str, asgi.App]]) -> None:
    """Serve each application on its ``host:port`` until SIGTERM."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await asyncio.gather(*[_serve_one(b, a, stop) for b, a in binds])


async def _serve_one(bind: str, app: asgi.App, stop: asyncio.Event) -> None:
    config = hypercorn.config.Config()
    config.bind = [bind]
    config.accesslog = None
    config.errorlog = None
    config.graceful_timeout = 0.5
    config.keep_alive_timeout = 75
    await hypercorn.asyncio.serve(app, config, shutdown_trigger=stop.wait)
