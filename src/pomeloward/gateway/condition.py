"""What a host knows about itself."""

import typing

import anyio

from pomeloward import catalog
from pomeloward import model
from pomeloward import ownership
from pomeloward.gateway import foundation as foundations


class Condition:
    """The host's state, standing and configuration in force."""

    def __init__(
        self, host: model.HostId, foundation: foundations.Foundation
    ) -> None:
        self.state = model.HostState.STARTING
        self._host = host
        self._foundation = foundation

    @property
    def view(self) -> catalog.View:
        """The configuration in force."""
        return self._foundation.view

    def has_standing(self, now_ms: float) -> bool:
        """Tell whether the host hears enough of the others."""
        return self._foundation.members.has_standing(now_ms)

    def details(self) -> dict[str, typing.Any]:
        """Return facts for the status page."""
        now_ms = anyio.current_time() * 1_000
        members = self._foundation.members
        return {
            "host": self._host,
            "state": self.state.value,
            "version": self.view.version,
            "has_standing": self.has_standing(now_ms),
            "contacts": len(members.contacts()),
            "ready_hosts": len(members.ready_hosts(now_ms)),
            "partitions": self._owned(now_ms),
            **self._foundation.facts(now_ms),
        }

    def _owned(self, now_ms: float) -> int:
        """Return how many partitions this host owns."""
        owners = self._foundation.owners
        return sum(
            owners.holds(ownership.make_partition(region.id, number), now_ms)
            is not None
            for region in self.view.regions()
            for number in range(region.partitions)
        )
