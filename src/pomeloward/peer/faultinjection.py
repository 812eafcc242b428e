"""Injection of message delay and loss between hosts, for tests."""

import typing

from pomeloward import model


class FaultInjector(typing.Protocol):
    """Decides which messages between hosts are delayed or lost."""

    def message_delay_ms(
        self, source: model.HostId, destination: model.HostId
    ) -> float | None:
        """Return the added delay of a message, or None to drop it."""


class NoFaults:
    """A fault injector that neither delays nor drops messages."""

    def message_delay_ms(
        self, source: model.HostId, destination: model.HostId
    ) -> float | None:
        """Return zero, so that each message is sent at once."""
        return 0.0
