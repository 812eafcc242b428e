"""What a module implements to keep state at the owners of partitions."""

import typing

from pomeloward import model


class PartitionUser(typing.Protocol):
    """A module with state at the owner of each partition.

    Exceptions from these methods are faults; they are logged and do not
    keep other users from their calls.
    """

    @property
    def name(self) -> str:
        """The name that the state carries in a hand-over."""

    def on_acquired(
        self,
        partition: model.PartitionId,
        epoch: model.Epoch,
        state: bytes | None,
        now_ms: float,
    ) -> None:
        """Start as owner.

        ``state`` is what the predecessor exported in a planned hand-over,
        and None when there was none or it may be out of date.
        """

    def on_lost(self, partition: model.PartitionId, now_ms: float) -> None:
        """Stop as owner; the right to act has already ended."""

    def export(self, partition: model.PartitionId, now_ms: float) -> bytes:
        """Return the state for a successor; called before ``on_lost``.

        The right to act has already ended, so the state cannot change.
        """
