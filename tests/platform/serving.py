"""Serves a stand-in at an address of this machine."""

import random
import socket

import anyio

from pomeloward import settings
from pomeloward.edge import httplistener


async def serve(app, port, *, task_status=anyio.TASK_STATUS_IGNORED):
    """Serve an ASGI application until cancelled."""
    endpoint = settings.Endpoint("127.0.0.1", port)
    serving = httplistener.HttpListener(app, endpoint, 1_000, 65_536)
    await serving.start()
    task_status.started()
    try:
        await anyio.sleep_forever()
    finally:
        with anyio.CancelScope(shield=True):
            await serving.close()


# A port is bound some time after it is drawn, so that the check below can't
# see one that this process has drawn already.
_drawn = set()


def steady_port():
    """Return a port that no connection gets by chance, once in a process.

    Outgoing connections take their ports from 32768 on. A host that found
    its own port taken by one of another run ended at its start.
    """
    while True:
        port = random.randrange(20_000, 30_000)
        if port in _drawn:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("0.0.0.0", port))
            except OSError:
                continue
            _drawn.add(port)
            return port
