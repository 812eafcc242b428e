"""Calls the modules that keep state at the owners of partitions."""

import collections.abc

import eliot

from pomeloward import model
from pomeloward.ownership import partitionuser


class Users:
    """All partition users of a host.

    A fault of one user is logged; the others are still called, so that one
    module cannot keep another from learning that it lost a partition.
    """

    def __init__(self) -> None:
        self._users: list[partitionuser.PartitionUser] = []

    def add(self, user: partitionuser.PartitionUser) -> None:
        """Register a user; before the host owns anything."""
        self._users.append(user)

    def acquired(
        self,
        partition: model.PartitionId,
        epoch: model.Epoch,
        states: collections.abc.Mapping[str, bytes],
        now_ms: float,
    ) -> None:
        """Tell all users that this host is the owner."""
        for user in self._users:
            state = states.get(user.name)
            _call(user.on_acquired, partition, epoch, state, now_ms)

    def lost(self, partition: model.PartitionId, now_ms: float) -> None:
        """Tell all users that this host is the owner no more."""
        for user in self._users:
            _call(user.on_lost, partition, now_ms)

    def export(
        self, partition: model.PartitionId, now_ms: float
    ) -> dict[str, bytes]:
        """Return the states of all users for a successor."""
        states = {}
        for user in self._users:
            state = _call(user.export, partition, now_ms)
            if isinstance(state, bytes):
                states[user.name] = state
        return states


def _call(
    method: collections.abc.Callable[..., object], *arguments: object
) -> object:
    try:
        return method(*arguments)
    # Any fault of a user stays with it; see the class.
    except Exception:  # noqa: BLE001
        eliot.write_traceback()
        return None
