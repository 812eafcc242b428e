"""The foundation of a host in a fleet."""

import collections.abc
import random
import typing

import anyio
import httpx

from pomeloward import catalog
from pomeloward import membership
from pomeloward import model
from pomeloward import origin
from pomeloward import ownership
from pomeloward import peer
from pomeloward import settings
from pomeloward.gateway import cachedview
from pomeloward.gateway import foundation
from pomeloward.gateway import peerdirectory

_READY_CHECK_S = 0.05


class FleetFoundation:
    """Peers, spread configuration, heartbeats and leased ownership.

    It is made inside the running loop. Each configuration reaches the parts
    from the bottom up before any request sees it.
    """

    def __init__(
        self,
        host_settings: settings.Settings,
        incarnation: model.Incarnation,
        rng: random.Random,
        peers: peer.Peers | None = None,
        source: origin.Platform | None = None,
    ) -> None:
        """Build the parts; ``peers`` and ``source`` replace the sockets.

        Without them, the host talks to its peers over websockets and to the
        platform over HTTP.
        """
        now_ms = anyio.current_time() * 1_000
        host = host_settings.host
        self._source = source
        self._settings = host_settings
        self._host = host
        self._region = model.RegionId(host_settings.region)
        identity = peer.Identity(host, incarnation)
        self._websocket_peers: peer.WebsocketPeers | None = None
        if peers is None:
            self._websocket_peers = peer.WebsocketPeers(
                identity,
                host_settings.fleet_secret.encode("utf-8"),
                peerdirectory.PeerDirectory(
                    lambda: self.view, host_settings.seeds
                ),
                rng=rng,
            )
            peers = self._websocket_peers
        self.peers: peer.Peers = peers
        spreader = catalog.Spreader(
            host, [model.HostId(seed.id) for seed in host_settings.seeds], rng
        )
        self._spreader = spreader
        self._catalog = catalog.Catalog(spreader, self.peers)
        self._catalog.subscribe(self._in_force)
        self.view: catalog.View = cachedview.CachedView(spreader.view)
        self._choice = origin.ReaderChoice(host, rng, now_ms)
        spread_ms = origin.BOOTSTRAP_SPREAD_MS if host_settings.seeds else 0.0
        self._budget = origin.ReadBudget(rng, now_ms, spread_ms)
        self._roll = membership.Roll(host, self._region, incarnation)
        self.members: membership.Membership = self._roll
        self._heartbeats = membership.Heartbeats(
            self._roll, self.peers, rng, self._on_version
        )
        self._leases = ownership.LeasedOwnership(
            identity,
            self._region,
            self.peers,
            self._roll,
            rng,
            self._on_version,
        )
        self.owners: ownership.Ownership = self._leases
        self._callbacks: list[foundation.OnView] = []
        # Until it knows others, a host reads the platform itself.
        zone = model.ZoneId(host_settings.zone)
        self._choice.on_hosts(self._region, {host: zone}, now_ms)

    def facts(self, now_ms: float) -> dict[str, typing.Any]:
        """Return facts of the configuration for the status page."""
        return {
            "rejection": self._spreader.rejection,
            "behind_ms": round(self._spreader.behind_ms(now_ms)),
        }

    def on_view(self, callback: foundation.OnView) -> None:
        """Register for each configuration that comes in force."""
        self._callbacks.append(callback)

    async def run(
        self,
        users: collections.abc.Sequence[ownership.PartitionUser],
        started: collections.abc.Callable[[], None],
    ) -> None:
        """Run until cancelled; ``started`` is called when ready to serve."""
        for user in users:
            self._leases.add_user(user)
        if self._source is not None:
            await self._run(self._source, started)
            return
        async with httpx.AsyncClient(trust_env=False) as client:
            url = self._settings.platform_url
            await self._run(origin.HttpPlatform(client, url), started)

    async def _run(
        self,
        source: origin.Platform,
        started: collections.abc.Callable[[], None],
    ) -> None:
        reader = origin.Reader(
            source, self._choice, self._budget, self._catalog, self.peers
        )
        async with anyio.create_task_group() as tasks:
            if self._websocket_peers is not None:
                await tasks.start(
                    self._websocket_peers.run,
                    self._settings.address,
                    self._settings.peer_port,
                )
            tasks.start_soon(self._catalog.run)
            tasks.start_soon(reader.run)
            tasks.start_soon(self._heartbeats.run)
            tasks.start_soon(self._leases.run)
            await self._wait_ready()
            started()

    def set_state(self, state: model.HostState) -> None:
        """Tell the other hosts this host's state at once."""
        self._roll.state = state
        self._heartbeats.send()
        if (
            state is model.HostState.DRAINING
            and self._websocket_peers is not None
        ):
            self._websocket_peers.announce_stop()

    async def hand_over(self) -> None:
        """Give the host's partitions to successors."""
        await self._leases.drain()

    async def _wait_ready(self) -> None:
        """Wait for a compared configuration and for standing."""
        while True:
            await anyio.sleep(_READY_CHECK_S)
            now_ms = anyio.current_time() * 1_000
            if self._spreader.is_ready and self._roll.has_standing(now_ms):
                return

    def _on_version(self, host: model.HostId, version: model.Version) -> None:
        now_ms = anyio.current_time() * 1_000
        self._spreader.on_peer_version(host, version, now_ms)

    def _in_force(
        self, configuration: catalog.Configuration, now_ms: float
    ) -> None:
        view = cachedview.CachedView(configuration)
        self.view = view
        self._roll.configure(view, now_ms)
        self._leases.configure(view, now_ms)
        self._choice.on_hosts(
            self._region,
            {h.id: h.zone for h in view.hosts() if h.region == self._region},
            now_ms,
        )
        for callback in self._callbacks:
            callback(view)
