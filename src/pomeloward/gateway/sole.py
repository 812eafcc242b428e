"""The foundation of a host that works by itself."""

import collections.abc
import pathlib
import typing

import anyio
import msgspec

from pomeloward import catalog
from pomeloward import membership
from pomeloward import model
from pomeloward import ownership
from pomeloward import peer
from pomeloward import settings
from pomeloward.gateway import cachedview
from pomeloward.gateway import foundation
from pomeloward.gateway import nopeers
from pomeloward.gateway import solemembership
from pomeloward.gateway import soleownership


def load_configuration(path: pathlib.Path) -> catalog.Configuration:
    """Read a JSON list of records; raises ``SettingsError``."""
    try:
        records = msgspec.json.decode(
            path.read_bytes(), type=list[catalog.Record]
        )
        return catalog.Configuration.of_records(model.Version(1), records)
    except (
        OSError,
        msgspec.DecodeError,
        model.ConfigurationError,
    ) as error:
        raise model.SettingsError(
            f"configuration_file: found {str(path)!r}, which is no valid "
            f"configuration ({error}); allowed: a JSON list of records"
        ) from error


class SoleFoundation:
    """A fixed configuration, every partition, and no peers."""

    def __init__(
        self, host_settings: settings.Settings, view: catalog.View
    ) -> None:
        self.peers: peer.Peers = nopeers.NoPeers(host_settings.host)
        self.view: catalog.View = cachedview.CachedView(view)
        self._region = model.RegionId(host_settings.region)
        self._sole = soleownership.SoleOwnership(host_settings.host)
        self.owners: ownership.Ownership = self._sole
        self._alone = solemembership.SoleMembership(host_settings.host)
        self.members: membership.Membership = self._alone
        self._callbacks: list[foundation.OnView] = []

    def facts(self, now_ms: float) -> dict[str, typing.Any]:
        """Return facts of the configuration for the status page."""
        return {"rejection": "", "behind_ms": 0}

    def on_view(self, callback: foundation.OnView) -> None:
        """Register for a replaced configuration."""
        self._callbacks.append(callback)

    def replace(self, view: catalog.View) -> None:
        """Put another configuration in force."""
        self.view = cachedview.CachedView(view)
        for callback in self._callbacks:
            callback(self.view)

    async def run(
        self,
        users: collections.abc.Sequence[ownership.PartitionUser],
        started: collections.abc.Callable[[], None],
    ) -> None:
        """Give all partitions to their users."""
        region = self.view.region(self._region)
        if region is not None:
            self._sole.acquire_all(region, users, anyio.current_time() * 1_000)
        started()
        await anyio.sleep_forever()

    def set_state(self, state: model.HostState) -> None:
        """Keep the state for the address answer."""
        self._alone.state = state

    async def hand_over(self) -> None:
        """Keep the partitions, since there is no successor."""
