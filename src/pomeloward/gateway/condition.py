"""What a host knows about itself."""

import collections.abc
import typing

from pomeloward import catalog
from pomeloward import model

Standing = collections.abc.Callable[[float], bool]


class Condition:
    """The host's state, standing and configuration in force."""

    def __init__(
        self,
        host: model.HostId,
        view: collections.abc.Callable[[], catalog.View],
        has_standing: Standing,
    ) -> None:
        self.state = model.HostState.STARTING
        self._host = host
        self._view = view
        self._has_standing = has_standing

    @property
    def view(self) -> catalog.View:
        """The configuration in force."""
        return self._view()

    def has_standing(self, now_ms: float) -> bool:
        """Tell whether the host hears enough of the others."""
        return self._has_standing(now_ms)

    def details(self) -> dict[str, typing.Any]:
        """Return facts for the status page."""
        return {
            "host": self._host,
            "state": self.state.value,
            "version": self.view.version,
        }
