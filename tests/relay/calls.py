"""Sample calls."""

import anyio

from pomeloward import entry
from pomeloward import model
from pomeloward import relay


def call(route, end_ms=2_000.0):
    """Make a call that has just arrived; ``end_ms`` is from now on."""
    now_ms = anyio.current_time() * 1_000
    return relay.Call(
        id=model.RequestId("q"),
        route=route,
        service=route.splits[0].service,
        team=None,
        method="GET",
        target_path=b"/",
        headers=[],
        body=entry.NoBody(),
        arrived_ms=now_ms,
        end_ms=now_ms + end_ms,
    )
