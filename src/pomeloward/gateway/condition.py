"""What a host knows about itself."""

import typing

from pomeloward import catalog
from pomeloward import model
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
        return self._foundation.has_standing(now_ms)

    def details(self) -> dict[str, typing.Any]:
        """Return facts for the status page."""
        return {
            "host": self._host,
            "state": self.state.value,
            "version": self.view.version,
        }
