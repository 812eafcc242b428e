"""What other modules ask about the hosts of the fleet."""

import collections.abc
import typing

from pomeloward import model


class Membership(typing.Protocol):
    """The states of hosts as this host knows them."""

    def state_of(
        self, host: model.HostId, now_ms: float
    ) -> model.HostState | None:
        """Return a host's state; None when it is silent or not known."""

    def is_silent(self, host: model.HostId, now_ms: float) -> bool:
        """Tell whether a host is a contact and has fallen silent.

        A host that is no contact, and not known, is not silent.
        """

    def has_standing(self, now_ms: float) -> bool:
        """Tell whether more than half of the contacts are in touch."""

    def ready_hosts(
        self, now_ms: float
    ) -> collections.abc.Sequence[model.HostId]:
        """Return the hosts known to be ready, this one included."""

    def contacts(self) -> collections.abc.Sequence[model.HostId]:
        """Return the hosts of the region that this host beats with."""
