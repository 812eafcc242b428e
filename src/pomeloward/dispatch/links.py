"""Connections to targets, one pool per target."""

import ssl
import typing

import httpx

from pomeloward import catalog
from pomeloward import model


class Link(typing.NamedTuple):
    """A target's pool of connections and its parsed address."""

    url: str
    base: httpx.URL
    transport: httpx.AsyncHTTPTransport


def host_and_port(url: str) -> tuple[str, int]:
    """Return where a target listens."""
    parsed = httpx.URL(url)
    default = 443 if parsed.scheme == "https" else 80
    return parsed.host, parsed.port or default


class Links:
    """Keeps one transport per target.

    The pool of httpx looks at each of its connections for each request,
    with a system call for each idle one; a pool for each target keeps that
    number small. The TLS context is shared, since building one takes more
    than 10 ms. Connections leave from the host's own ``address``.
    """

    def __init__(self, target_idle_ms: float, address: str) -> None:
        self._address = address
        self._target_idle_s = target_idle_ms / 1_000
        self._tls = ssl.create_default_context()
        self._links: dict[model.TargetId, Link] = {}

    def find(self, target: catalog.Target) -> Link | None:
        """Return the link to a target if there is one to its address."""
        found = self._links.get(target.id)
        if found is not None and found.url == target.url:
            return found
        return None

    def make(self, target: catalog.Target, connections: int) -> Link:
        """Make the link to a target with a bound on its connections."""
        limits = httpx.Limits(
            max_connections=connections,
            max_keepalive_connections=connections,
            keepalive_expiry=self._target_idle_s,
        )
        made = Link(
            target.url,
            httpx.URL(target.url),
            httpx.AsyncHTTPTransport(
                verify=self._tls,
                trust_env=False,
                limits=limits,
                local_address=self._address,
            ),
        )
        self._links[target.id] = made
        return made

    def keep_only(self, targets: set[model.TargetId]) -> None:
        """Forget targets that are gone.

        Open answers hold their connection by themselves, so that a pool is
        only dropped here and never closed under them.
        """
        for target in self._links.keys() - targets:
            del self._links[target]

    async def aclose(self) -> None:
        """Close all connections."""
        for link in self._links.values():
            await link.transport.aclose()
        self._links.clear()
