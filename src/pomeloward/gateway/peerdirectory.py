"""Where peers listen, by configuration or seeds."""

import collections.abc

from pomeloward import catalog
from pomeloward import model
from pomeloward import settings


class PeerDirectory:
    """Finds peers in the configuration, and in the seeds before it."""

    def __init__(
        self,
        view: collections.abc.Callable[[], catalog.View],
        seeds: collections.abc.Iterable[settings.SeedHost],
    ) -> None:
        self._view = view
        self._seeds = {
            model.HostId(seed.id): (seed.address, seed.peer_port)
            for seed in seeds
        }

    def peer_address(self, host: model.HostId) -> tuple[str, int] | None:
        """Return the IP address and peer port of a host, or None."""
        record = self._view().host(host)
        if record is not None:
            return record.address, record.peer_port
        return self._seeds.get(host)
