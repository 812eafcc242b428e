"""Sample requests for the tests of the relay package."""

import anyio

from pomeloward import entry
from pomeloward import model
from pomeloward import relay


def make_request(route, timeout_ms=2_000.0):
    """Return a request that has just arrived, with a deadline."""
    now_ms = anyio.current_time() * 1_000
    return relay.AdmittedRequest(
        id=model.RequestId("q"),
        route=route,
        service_id=route.splits[0].service,
        team=None,
        method="GET",
        path_and_query=b"/",
        headers=[],
        body=entry.NoBody(),
        arrived_at_ms=now_ms,
        deadline_ms=now_ms + timeout_ms,
        max_attempts=route.max_attempts,
    )
