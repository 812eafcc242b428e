"""Replicates changes between the replicas of hosts."""

import collections.abc

import anyio
import eliot

from pomeloward import model
from pomeloward import peer
from pomeloward.replica import change as changes
from pomeloward.replica import messages
from pomeloward.replica import policytransfer
from pomeloward.replica import replica as replicas

# A response takes a round trip and, for a large configuration, some ten ms.
_SNAPSHOT_TIMEOUT_MS = 600.0
# When digests differ, the missing changes are usually on their way.
_MAX_DIVERGENCE_MS = 300.0
# So many changes fit in a message, whose size is limited.
_MAX_CHANGES = 500

ChangesCallback = collections.abc.Callable[[tuple[changes.Change, ...]], None]


class Replicator:
    """Forwards changes to other hosts, and fetches those that were missed.

    Every host forwards a change that is new to it to its own contacts, so
    that changes cross the zones on the few links between their first hosts.
    What doesn't fit in one message goes in several.
    """

    def __init__(
        self,
        replica: replicas.Replica,
        peers: peer.Peers,
        list_contacts: collections.abc.Callable[
            [], collections.abc.Iterable[model.HostId]
        ],
        on_changes: ChangesCallback,
    ) -> None:
        """Make a replicator and register its message handlers.

        ``list_contacts`` returns the hosts to forward changes to, and
        ``on_changes`` is called with the changes that were new here.
        """
        self._replica = replica
        self._peers = peers
        self._list_contacts = list_contacts
        self._on_changes = on_changes
        self._diverged_since_ms: dict[model.HostId, float] = {}
        self._snapshot_host: model.HostId | None = None
        self._fetch_requested = anyio.Event()
        self._policy_transfer = policytransfer.PolicyTransfer(
            replica,
            peers,
            lambda change, host: self.merge_and_forward([change], host),
        )
        peers.register_handler(
            messages.ChangeNotice, self._handle_change_notice
        )
        peers.register_handler(
            messages.SnapshotRequest, self._handle_snapshot_request
        )

    def merge_and_forward(
        self,
        received: collections.abc.Iterable[changes.Change],
        sender: model.HostId | None = None,
    ) -> None:
        """Merge changes; forward the new ones to all but their sender."""
        new_changes = self._replica.merge(received)
        if not new_changes:
            return
        notices = self._make_notices(new_changes)
        for host in self._list_contacts():
            if host != sender:
                for notice in notices:
                    self._peers.notify(host, notice)
        self._on_changes(new_changes)

    def is_in_sync_with(
        self, host: model.HostId, digest: int, now_ms: float
    ) -> bool:
        """Return whether a host has the same digest as this one.

        If they stay different for ``_MAX_DIVERGENCE_MS``, a snapshot of that
        host is fetched. The time is kept for each host: two hosts that missed
        the same change agree with each other, but not with a third one.
        """
        if digest == self._replica.digest:
            self._diverged_since_ms.pop(host, None)
            return True
        since_ms = self._diverged_since_ms.setdefault(host, now_ms)
        if now_ms - since_ms >= _MAX_DIVERGENCE_MS:
            self._diverged_since_ms[host] = now_ms
            self._snapshot_host = host
            self._fetch_requested.set()
        return False

    async def run(self) -> None:
        """Fetch snapshots and large policies, until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._policy_transfer.run)
            await self._fetch_requested_snapshots()

    async def _fetch_requested_snapshots(self) -> None:
        while True:
            await self._fetch_requested.wait()
            self._fetch_requested = anyio.Event()
            if self._snapshot_host is not None:
                await self._fetch_snapshot(self._snapshot_host)

    async def _fetch_snapshot(self, host: model.HostId) -> None:
        try:
            response = await self._peers.request(
                host, messages.SnapshotRequest(), _SNAPSHOT_TIMEOUT_MS
            )
        except model.PeerUnavailable as error:
            eliot.log_message(
                message_type="replica:fetch_failed",
                peer=host,
                reason=str(error),
            )
            return
        if isinstance(response, messages.SnapshotResponse):
            self.merge_and_forward(response.changes, host)

    def _handle_change_notice(
        self, host: model.HostId, message: peer.Message, now_ms: float
    ) -> None:
        if isinstance(message, messages.ChangeNotice):
            self.merge_and_forward(message.changes, host)

    def _handle_snapshot_request(
        self, host: model.HostId, message: peer.Message, now_ms: float
    ) -> peer.Message:
        response = messages.SnapshotResponse(changes=())
        for notice in self._make_notices(self._replica.newest_changes()):
            if isinstance(notice, messages.ChangeNotice) and (
                not response.changes
            ):
                response = messages.SnapshotResponse(changes=notice.changes)
            else:
                self._peers.notify(host, notice)
        return response

    def _make_notices(
        self, notified: collections.abc.Iterable[changes.Change]
    ) -> list[peer.Message]:
        """Return the messages that tell another host of changes."""
        offers: list[peer.Message] = []
        inline: list[changes.Change] = []
        for change in notified:
            offer = self._policy_transfer.find_offer(change)
            if offer is None:
                inline.append(change)
            else:
                offers.append(offer)
        return offers + [
            messages.ChangeNotice(
                changes=tuple(inline[start : start + _MAX_CHANGES])
            )
            for start in range(0, len(inline), _MAX_CHANGES)
        ]
