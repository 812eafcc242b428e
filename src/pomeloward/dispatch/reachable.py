"""What links need to know of a target."""

import typing

from pomeloward import model


class Reachable(typing.Protocol):
    """A target with the URL at which it is reached."""

    @property
    def id(self) -> model.TargetId:
        """The target's id."""

    @property
    def url(self) -> str:
        """The base URL."""
