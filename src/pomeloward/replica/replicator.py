"""Exchanges changes of the replica between hosts."""

import collections.abc

import anyio
import eliot

from pomeloward import model
from pomeloward import peer
from pomeloward.replica import change as changes
from pomeloward.replica import messages
from pomeloward.replica import replica as replicas

# An answer takes a round trip and, for a large configuration, some ten ms.
_ASK_TIMEOUT_MS = 600.0
# Notices are usually on their way when digests differ.
_PATIENCE_MS = 300.0

ChangesCallback = collections.abc.Callable[[tuple[changes.Change, ...]], None]


class Replicator:
    """Tells other hosts of changes, and asks for what was missed.

    Every host that learns something new tells its own contacts, so that
    news cross the zones on the few links between their first hosts.
    """

    def __init__(
        self,
        replica: replicas.Replica,
        peers: peer.Peers,
        contacts: collections.abc.Callable[
            [], collections.abc.Iterable[model.HostId]
        ],
        on_change: ChangesCallback,
    ) -> None:
        self._replica = replica
        self._peers = peers
        self._contacts = contacts
        self._on_change = on_change
        self._differs_since_ms: dict[model.HostId, float] = {}
        self._asked: model.HostId | None = None
        self._wanted = anyio.Event()
        peers.handle(messages.ChangeNotice, self._on_news)
        peers.handle(messages.SnapshotRequest, self._on_ask)

    def merge_and_forward(
        self,
        received: collections.abc.Iterable[changes.Change],
        sender: model.HostId | None = None,
    ) -> None:
        """Merge changes and pass on those that are new here."""
        news = self._replica.merge(received)
        if not news:
            return
        for host in self._contacts():
            if host != sender:
                self._peers.tell(host, messages.ChangeNotice(changes=news))
        self._on_change(news)

    def is_in_sync_with(
        self, host: model.HostId, digest: int, now_ms: float
    ) -> bool:
        """Tell whether a host knows the same; ask it if it stays different.

        Each host counts by itself: two hosts that missed the same news agree
        with each other, but not with a third one.
        """
        if digest == self._replica.digest:
            self._differs_since_ms.pop(host, None)
            return True
        since_ms = self._differs_since_ms.setdefault(host, now_ms)
        if now_ms - since_ms >= _PATIENCE_MS:
            self._differs_since_ms[host] = now_ms
            self._asked = host
            self._wanted.set()
        return False

    async def run(self) -> None:
        """Fetch states that differ until cancelled."""
        while True:
            await self._wanted.wait()
            self._wanted = anyio.Event()
            if self._asked is not None:
                await self._fetch(self._asked)

    async def _fetch(self, host: model.HostId) -> None:
        try:
            answer = await self._peers.ask(
                host, messages.SnapshotRequest(), _ASK_TIMEOUT_MS
            )
        except model.PeerUnavailable as error:
            eliot.log_message(
                message_type="replica:fetch_failed",
                peer=host,
                reason=str(error),
            )
            return
        if isinstance(answer, messages.SnapshotResponse):
            self.merge_and_forward(answer.changes, host)

    def _on_news(
        self, host: model.HostId, message: peer.Message, now_ms: float
    ) -> None:
        if isinstance(message, messages.ChangeNotice):
            self.merge_and_forward(message.changes, host)

    def _on_ask(
        self, host: model.HostId, message: peer.Message, now_ms: float
    ) -> peer.Message:
        return messages.SnapshotResponse(
            changes=self._replica.newest_changes()
        )
