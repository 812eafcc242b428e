"""Connects ledgers and the witness to peers and ownership."""

import collections.abc
import secrets

import anyio
import anyio.abc

from pomeloward import catalog
from pomeloward import model
from pomeloward import ownership
from pomeloward import peer
from pomeloward.orders import electorates as voters
from pomeloward.orders import historyreader
from pomeloward.orders import ledger
from pomeloward.orders import messages
from pomeloward.orders import orderid
from pomeloward.orders import orderscope
from pomeloward.orders import witness

_PRUNE_MS = 5_000.0
_MAX_ISSUED = 1_000


class OrderShell:
    """The parts of this host as an owner of orders and as a voter.

    It implements ``ownership.PartitionUser``. Ownership is checked before
    each act of an owner.
    """

    name = "orders"

    def __init__(
        self,
        host: model.HostId,
        peers: peer.Peers,
        holdings: ownership.Ownership,
        view: collections.abc.Callable[[], catalog.View],
        electorates: voters.Electorates,
        ids: orderid.OrderIds,
        started_ms: float,
    ) -> None:
        """Register the handlers; ``started_ms`` is the process's start."""
        self._host = host
        self._peers = peers
        self._holdings = holdings
        self._view = view
        self._electorates = electorates
        self._ids = ids
        self._witness = witness.Witness(started_ms)
        self._ledgers: dict[model.PartitionId, ledger.Ledger] = {}
        self._group: anyio.abc.TaskGroup | None = None
        self._waiting: list[tuple[model.PartitionId, messages.Term]] = []
        peers.register_handler(messages.ClaimOrder, self.on_claim)
        peers.register_handler(messages.SettleOrder, self.on_settle)
        peers.register_handler(messages.IssueIds, self.on_issue)
        peers.register_handler(messages.RecordIntent, self.on_intent)
        peers.register_handler(messages.ReadHistory, self.on_read)

    async def run(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Read histories after crashes and prune, until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            for partition, term in self._waiting:
                group.start_soon(self._recover, partition, term)
            self._waiting = []
            task_status.started()
            while True:
                await anyio.sleep(_PRUNE_MS / 1000)
                for held in self._ledgers.values():
                    held.prune(now_ms())

    def on_acquired(
        self,
        partition: model.PartitionId,
        epoch: model.Epoch,
        state: bytes | None,
        now_ms: float,
    ) -> None:
        """Start to own a partition, and read its history if needed."""
        layout = orderscope.layout_of(self._view())
        term = messages.Term(epoch, secrets.randbits(62))
        held = ledger.Ledger(term, layout, now_ms)
        self._ledgers[partition] = held
        if held.begin(state or b"", now_ms):
            return
        if self._group is None:
            self._waiting.append((partition, term))
        else:
            self._group.start_soon(self._recover, partition, term)

    def on_lost(self, partition: model.PartitionId, now_ms: float) -> None:
        """Stop to own a partition."""
        self._ledgers.pop(partition, None)

    def export(self, partition: model.PartitionId, now_ms: float) -> bytes:
        """Return the state for a successor; nothing is granted after it."""
        held = self._ledgers.pop(partition, None)
        return held.export(now_ms) if held else b""

    def on_configuration(self, now_ms: float) -> None:
        """Check whether callers' own keys map to other partitions now."""
        layout = orderscope.layout_of(self._view())
        for held in self._ledgers.values():
            held.change_layout(layout, now_ms)

    def on_claim(
        self, host: model.HostId, message: peer.Message, now_ms: float
    ) -> messages.ClaimAnswer:
        """Answer a claim."""
        assert isinstance(message, messages.ClaimOrder)
        partition = message.order.partition
        held = self._held(partition, now_ms)
        if held is None:
            return messages.ClaimAnswer(
                verdict=messages.Verdict.UNAVAILABLE,
                owner=self._holdings.owner_of(partition, now_ms),
            )
        answer = held.claim(message, now_ms)
        if answer.verdict is not messages.Verdict.RUN:
            return answer
        return messages.ClaimAnswer(
            verdict=answer.verdict,
            lifetime_ms=answer.lifetime_ms,
            term=answer.term,
            owner_now_ms=answer.owner_now_ms,
            electorate=self._electorates(partition),
        )

    def on_settle(
        self, host: model.HostId, message: peer.Message, now_ms: float
    ) -> messages.SettleAnswer:
        """Take in an outcome as a voter, and as the owner if it is one."""
        assert isinstance(message, messages.SettleOrder)
        self._witness.settle(message, now_ms)
        held = self._held(message.order.partition, now_ms)
        is_settled = held is not None and held.settle(message, now_ms)
        return messages.SettleAnswer(is_settled=is_settled)

    def on_issue(
        self, host: model.HostId, message: peer.Message, now_ms: float
    ) -> messages.IssuedIds:
        """Issue ids."""
        assert isinstance(message, messages.IssueIds)
        held = self._held(message.partition, now_ms)
        if held is None or not 0 < message.count <= _MAX_ISSUED:
            return messages.IssuedIds()
        issued = messages.Issued(held.term, int(now_ms))
        return messages.IssuedIds(
            ids=tuple(
                self._ids.make(
                    message.partition,
                    message.team,
                    issued,
                    secrets.token_bytes(12),
                )
                for _ in range(message.count)
            )
        )

    def on_intent(
        self, host: model.HostId, message: peer.Message, now_ms: float
    ) -> messages.IntentAnswer:
        """Record an intent as a voter."""
        assert isinstance(message, messages.RecordIntent)
        return messages.IntentAnswer(
            is_recorded=self._witness.record(message, now_ms)
        )

    def on_read(
        self, host: model.HostId, message: peer.Message, now_ms: float
    ) -> messages.History | None:
        """Answer a new owner as a voter."""
        assert isinstance(message, messages.ReadHistory)
        return self._witness.read(message, now_ms)

    def _held(
        self, partition: model.PartitionId, now_ms: float
    ) -> ledger.Ledger | None:
        epoch = self._holdings.holds(partition, now_ms)
        held = self._ledgers.get(partition)
        # A ledger of an earlier epoch may lack what an owner between did.
        return held if held and held.term.epoch == epoch else None

    async def _recover(
        self, partition: model.PartitionId, term: messages.Term
    ) -> None:
        held = self._ledgers.get(partition)
        reader = historyreader.HistoryReader(
            self._host, self._peers, self.on_read
        )
        known = await reader.read(
            partition, term, self._electorates(partition)
        )
        if held is not None and self._ledgers.get(partition) is held:
            held.recover(known, now_ms())


def now_ms() -> float:
    """Return the time of the runtime's clock."""
    return anyio.current_time() * 1000
