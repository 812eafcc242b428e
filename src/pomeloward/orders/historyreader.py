"""Reads the memories of voters after a crash of an owner."""

import collections.abc

import anyio

from pomeloward import model
from pomeloward import peer
from pomeloward.orders import messages
from pomeloward.orders import recovery

# Voters that do not answer within this time are taken as lost. Callers wait
# meanwhile.
_READ_MS = 2_000.0
_ASK_TIMEOUT_MS = 500.0
_PAUSE_MS = 50.0

Local = collections.abc.Callable[
    [model.HostId, peer.Message, float], messages.History | None
]


class HistoryReader:
    """Reads voters in parallel until the history is complete."""

    def __init__(
        self, host: model.HostId, peers: peer.Peers, local: Local
    ) -> None:
        """``local`` reads this host's own memory."""
        self._host = host
        self._peers = peers
        self._local = local

    async def read(
        self,
        partition: model.PartitionId,
        term: messages.Term,
        electorate: messages.Electorate,
    ) -> recovery.Recovery:
        """Return what could be read in time."""
        known = recovery.Recovery(electorate)
        voters = dict.fromkeys(
            voter for roster in electorate for voter in roster
        )
        with anyio.move_on_after(_READ_MS / 1000):
            async with anyio.create_task_group() as group:
                for voter in voters:
                    group.start_soon(
                        self._read_voter,
                        voter,
                        messages.ReadHistory(
                            partition=partition, term=term, after=0
                        ),
                        known,
                        group.cancel_scope,
                    )
        return known

    async def _read_voter(
        self,
        voter: model.HostId,
        question: messages.ReadHistory,
        known: recovery.Recovery,
        scope: anyio.CancelScope,
    ) -> None:
        while True:
            part = await self._ask(voter, question)
            if part is None:
                await anyio.sleep(_PAUSE_MS / 1000)
                continue
            known.add(voter, part, anyio.current_time() * 1000)
            if part.is_end:
                break
            question = messages.ReadHistory(
                partition=question.partition,
                term=question.term,
                after=part.last,
            )
        if known.is_complete:
            scope.cancel()

    async def _ask(
        self, voter: model.HostId, question: messages.ReadHistory
    ) -> messages.History | None:
        if voter == self._host:
            now_ms = anyio.current_time() * 1000
            return self._local(self._host, question, now_ms)
        try:
            answer = await self._peers.request(
                voter, question, _ASK_TIMEOUT_MS
            )
        except model.PeerUnavailable:
            return None
        return answer if isinstance(answer, messages.History) else None
