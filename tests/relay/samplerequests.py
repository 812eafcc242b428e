"""Sample calls."""

import anyio

from pomeloward import entry
from pomeloward import model
from pomeloward import relay


def make_request(route, end_ms=2_000.0):
    """Make a call that has just arrived; ``end_ms`` is from now on."""
    now_ms = anyio.current_time() * 1_000
    return relay.AdmittedRequest(
        id=model.RequestId("q"),
        route=route,
        service=route.splits[0].service,
        team=None,
        method="GET",
        path_and_query=b"/",
        headers=[],
        body=entry.NoBody(),
        arrived_at_ms=now_ms,
        deadline_ms=now_ms + end_ms,
    )
