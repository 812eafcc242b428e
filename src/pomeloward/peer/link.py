"""Injection of delay and cuts between two hosts, for tests."""

import typing

from pomeloward import model


class Link(typing.Protocol):
    """The state of the network as one host sees it."""

    def delay_ms(
        self, source: model.HostId, destination: model.HostId
    ) -> float | None:
        """Return the extra delay of a message, or None where it is lost."""


class OpenLink:
    """A link that neither delays nor loses messages."""

    def delay_ms(
        self, source: model.HostId, destination: model.HostId
    ) -> float | None:
        """Return no delay."""
        return 0.0
