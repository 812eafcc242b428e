"""The membership of a host that works by itself."""

import collections.abc

from pomeloward import model


class SoleMembership:
    """Knows only this host."""

    def __init__(self, host: model.HostId) -> None:
        self._host = host
        self.state = model.HostState.STARTING

    def state_of(
        self, host: model.HostId, now_ms: float
    ) -> model.HostState | None:
        """Return this host's state; None for others."""
        return self.state if host == self._host else None

    def is_silent(self, host: model.HostId, now_ms: float) -> bool:
        """Tell that no contact is silent, as there are none."""
        return False

    def has_standing(self, now_ms: float) -> bool:
        """Tell that no other host is needed."""
        return True

    def ready_hosts(
        self, now_ms: float
    ) -> collections.abc.Sequence[model.HostId]:
        """Return this host once it is ready."""
        return [self._host] if self.state is model.HostState.READY else []

    def contacts(self) -> collections.abc.Sequence[model.HostId]:
        """Return no contact."""
        return ()
