"""Connections to targets, one pool per target."""

import functools
import math
import ssl

import anyio
import httpx

from pomeloward import model
from pomeloward import wire
from pomeloward.dispatch import link as links
from pomeloward.dispatch import reachable
from pomeloward.dispatch import straylog as straylogs

# A pool closes idle connections only when it is asked for one. An unused
# pool would keep connections that its target has long closed.
_IDLE_MS = 30_000.0
_SWEEP_S = 10.0


class Links:
    """Keeps one transport per target.

    The pool of httpx looks at each of its connections for each request,
    with a system call for each idle one; a pool for each target keeps that
    number small. The TLS context is shared, since building one takes more
    than 10 ms. Connections leave from the host's own ``address``, and
    ``stray_log`` is told what comes on them beside answers.
    """

    def __init__(
        self,
        target_idle_ms: float,
        address: str,
        stray_log: straylogs.StrayLog,
    ) -> None:
        self._address = address
        self._target_idle_s = target_idle_ms / 1_000
        self._stray_log = stray_log
        self._tls = ssl.create_default_context()
        self._links: dict[model.TargetId, links.Link] = {}
        # Pools to former addresses of targets.
        self._former: list[links.Link] = []

    def __len__(self) -> int:
        return len(self._links)

    def find(self, target: reachable.Reachable) -> links.Link | None:
        """Return the link to a target if there is one to its address."""
        found = self._links.get(target.id)
        if found is not None and found.url == target.url:
            return found
        return None

    def make(
        self,
        target: reachable.Reachable,
        connections: int,
        now_ms: float,
        idle_ms: float = math.inf,
    ) -> links.Link:
        """Make the link to a target with a bound on its connections.

        They are not used again after ``idle_ms``, or after the usual idle
        time if that is shorter.
        """
        idle_s = min(self._target_idle_s, idle_ms / 1_000)
        transport = wire.Transport(
            connections,
            wire.ConnectionSettings(
                self._address,
                self._tls,
                idle_s,
                functools.partial(self._stray_log.record, target.id),
            ),
        )
        made = links.Link(target.url, transport, now_ms, idle_s * 1_000)
        former = self._links.get(target.id)
        if former is not None:
            self._former.append(former)
        self._links[target.id] = made
        return made

    async def run(self) -> None:
        """Close the pools of targets that are not used, until cancelled."""
        while True:
            await anyio.sleep(_SWEEP_S)
            await self.sweep(anyio.current_time() * 1_000)

    async def sweep(self, now_ms: float) -> None:
        """Close pools that are idle; a target's open work keeps its pool."""
        idle = [
            (target, link)
            for target, link in self._links.items()
            if link.is_idle(now_ms, _IDLE_MS)
        ]
        for target, _ in idle:
            del self._links[target]
        closing = [link for _, link in idle]
        closing += [one for one in self._former if one.open_count == 0]
        self._former = [one for one in self._former if one.open_count]
        for link in closing:
            await link.transport.aclose()

    async def aclose(self) -> None:
        """Close all connections."""
        for link in (*self._links.values(), *self._former):
            await link.transport.aclose()
        self._links.clear()
        self._former.clear()


def host_and_port(url: str) -> tuple[str, int]:
    """Return where a target listens."""
    parsed = httpx.URL(url)
    default = 443 if parsed.scheme == "https" else 80
    return parsed.host, parsed.port or default
