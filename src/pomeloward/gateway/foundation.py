"""What the shared parts of a host stand on."""

import collections.abc
import typing

from pomeloward import catalog
from pomeloward import membership
from pomeloward import model
from pomeloward import ownership
from pomeloward import peer

OnView = collections.abc.Callable[[catalog.View], None]


class Foundation(typing.Protocol):
    """Peers, configuration, ownership and standing of a host.

    There are two: one for a fleet and one for a host that works by itself.
    """

    @property
    def peers(self) -> peer.Peers:
        """Connections to the other hosts."""

    @property
    def owners(self) -> ownership.Ownership:
        """Owners of partitions."""

    @property
    def view(self) -> catalog.View:
        """The configuration in force."""

    @property
    def members(self) -> membership.Membership:
        """States of hosts, and this host's standing."""

    def facts(self, now_ms: float) -> dict[str, typing.Any]:
        """Return facts of the configuration for the status page."""

    def on_view(self, callback: OnView) -> None:
        """Register for each configuration that comes in force."""

    async def run(
        self,
        users: collections.abc.Sequence[ownership.PartitionUser],
        started: collections.abc.Callable[[], None],
    ) -> None:
        """Run until cancelled; ``started`` is called once it may serve."""

    def set_state(self, state: model.HostState) -> None:
        """Tell the other hosts this host's state."""

    async def hand_over(self) -> None:
        """Give the host's partitions to successors before a stop."""
