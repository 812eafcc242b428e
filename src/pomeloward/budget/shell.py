"""Connects the lender to peers, ownership and configuration."""

from pomeloward import model
from pomeloward import ownership
from pomeloward import peer
from pomeloward.budget import directory
from pomeloward.budget import lender
from pomeloward.budget import messages
from pomeloward.budget import place


class LenderShell:
    """Answers hosts for the portions that this host owns.

    It implements ``ownership.PartitionUser``. Ownership is checked before
    each loan.
    """

    name = "budget"

    def __init__(
        self,
        peers: peer.Peers,
        owners: ownership.OwnerLookup,
        places: directory.Directory,
    ) -> None:
        """Register the handlers."""
        self._owners = owners
        self._places = places
        self._lender = lender.Lender()
        self._epochs: dict[model.PartitionId, model.Epoch] = {}
        peers.register_handler(messages.TakeTokens, self.on_take)
        peers.register_handler(messages.ReportTokens, self.on_report)

    def on_acquired(
        self,
        partition: model.PartitionId,
        epoch: model.Epoch,
        state: bytes | None,
        now_ms: float,
    ) -> None:
        """Start to own a partition."""
        self._epochs[partition] = epoch
        self._lender.acquire(partition, state, now_ms)

    def on_lost(self, partition: model.PartitionId, now_ms: float) -> None:
        """Stop to own a partition."""
        self._epochs.pop(partition, None)
        self._lender.lose(partition)

    def export(self, partition: model.PartitionId, now_ms: float) -> bytes:
        """Return the state for a successor; nothing is lent after it."""
        self._epochs.pop(partition, None)
        return self._lender.export(partition, now_ms)

    def on_configuration(self, now_ms: float) -> None:
        """Apply rates and bursts of an accepted configuration."""
        self._lender.tune(self._places.find, now_ms)

    def on_take(
        self, host: model.HostId, message: peer.Message, now_ms: float
    ) -> messages.Tokens:
        """Answer a question for tokens."""
        assert isinstance(message, messages.TakeTokens)
        wanted = self._places.find(
            message.team, message.region, message.portion
        )
        partition = self._places.partition_of(wanted)
        if partition is None or not self._holds(partition, now_ms):
            return messages.Tokens(number=message.number, is_owner=False)
        return self._lender.lend(partition, wanted, host, message, now_ms)

    def on_report(
        self, host: model.HostId, message: peer.Message, now_ms: float
    ) -> None:
        """Take in a notice on loans."""
        assert isinstance(message, messages.ReportTokens)
        wanted = self._places.find(
            message.team, message.region, message.portion
        )
        partition = self._places.partition_of(wanted)
        if partition is not None:
            self._lender.report(partition, host, message, now_ms)

    def answer_locally(
        self,
        host: model.HostId,
        source: place.Place,
        question: messages.TakeTokens,
        now_ms: float,
    ) -> messages.Tokens | None:
        """Answer a question of this host itself, None if not the owner."""
        if not self._holds(source.partition, now_ms):
            return None
        return self.on_take(host, question, now_ms)

    def _holds(self, partition: model.PartitionId, now_ms: float) -> bool:
        # Buckets of an earlier epoch are out of date where another host was
        # the owner in between.
        epoch = self._owners.holds(partition, now_ms)
        return epoch is not None and epoch == self._epochs.get(partition)
