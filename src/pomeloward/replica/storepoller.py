"""Polls the platform's store in turn with the other hosts."""

import collections.abc

import anyio
import eliot

from pomeloward import model
from pomeloward.replica import change as changes
from pomeloward.replica import readresult as readresults
from pomeloward.replica import readschedule as readschedules
from pomeloward.replica import replica as replicas
from pomeloward.replica import replicator as replicators
from pomeloward.replica import revision as revisions
from pomeloward.replica import storeclient as storeclients

# Bounds of the wait for the next read. A host that moves up in the order of
# its zone notices within the longest one that it is due earlier.
_MIN_WAIT_MS = 10.0
_MAX_WAIT_MS = 250.0
# In an outage of this length or a longer one, heartbeats of targets may have
# been lost.
_MIN_OUTAGE_MS = 1_500.0
# Targets whose entries expired in an outage are registered again this long
# after its end.
REREGISTRATION_GRACE_MS = 2_000.0
# Zones that were out of service before the store was restored stay so until
# the operators have had this time to write that again.
_ZONE_REWRITE_GRACE_MS = 5_000.0


class StorePoller:
    """Keeps the replica current from the store.

    Removals that are read soon after an outage or a restoration of the store
    are deferred until ``REREGISTRATION_GRACE_MS`` have passed, since living
    targets register again.
    """

    def __init__(
        self,
        store_client: storeclients.StoreClient,
        replica: replicas.Replica,
        replicator: replicators.Replicator,
        schedule: readschedules.ReadSchedule,
        rank_and_has_peers: collections.abc.Callable[
            [float], tuple[int, bool]
        ],
    ) -> None:
        """Make a poller.

        ``rank_and_has_peers`` takes the time in ms. It returns this host's
        index in the order of its zone's running hosts, and whether it hears
        any other host.
        """
        self._store_client = store_client
        self._replica = replica
        self._replicator = replicator
        self._schedule = schedule
        self._rank_and_has_peers = rank_and_has_peers
        self._revision: int | None = None
        # The era of the store at the last read.
        self._era: int | None = None
        self._last_read_ms: float | None = None
        self._deferred_removals: dict[str, changes.Change] = {}
        self._defer_removals_until_ms = 0.0
        self._is_store_unavailable = False
        # Zones out of service that a restored store lacks are kept so long.
        self._defer_zones_until_ms = 0.0

    async def run(self) -> None:
        """Read the store whenever the schedule says so, until cancelled."""
        while True:
            now_ms = model.now_ms()
            self._merge_deferred_removals(now_ms)
            rank, has_peers = self._rank_and_has_peers(now_ms)
            if self._schedule.is_due(now_ms, rank, has_peers):
                await self._read_and_merge(now_ms)
                rank, has_peers = self._rank_and_has_peers(model.now_ms())
            wait_ms = (
                self._schedule.due_at_ms(rank, has_peers) - model.now_ms()
            )
            await anyio.sleep(
                min(_MAX_WAIT_MS, max(_MIN_WAIT_MS, wait_ms)) / 1_000
            )

    async def _read_and_merge(self, now_ms: float) -> None:
        self._schedule.record_start(now_ms)
        try:
            result = await self._read_changes_or_snapshot()
        except model.PlatformUnavailable as error:
            ended_ms = model.now_ms()
            self._schedule.record_failure(ended_ms)
            if not self._is_store_unavailable:
                self._is_store_unavailable = True
                eliot.log_message(message_type="store:lost", reason=str(error))
            return
        ended_ms = model.now_ms()
        if self._is_store_unavailable:
            self._is_store_unavailable = False
            eliot.log_message(
                message_type="store:regained",
                era=revisions.era_of(result.revision),
                revision=revisions.number_of(result.revision),
            )
        self._record_read_time(ended_ms)
        self._record_era(result.revision)
        self._merge_result(result)
        self._schedule.record_success(now_ms, ended_ms)

    async def _read_changes_or_snapshot(self) -> readresults.ReadResult:
        if self._revision is None:
            return await self._store_client.read_snapshot()
        try:
            return await self._store_client.read_changes_after(self._revision)
        except storeclients.HistoryGone:
            eliot.log_message(
                message_type="store:history_gone",
                era=revisions.era_of(self._revision),
                revision=revisions.number_of(self._revision),
            )
            return await self._store_client.read_snapshot()

    def _record_read_time(self, now_ms: float) -> None:
        """Record the time of a read; defer removals if it ends an outage."""
        newest_read_ms = max(
            self._last_read_ms or now_ms, self._schedule.state_read_at_ms
        )
        if now_ms - newest_read_ms > _MIN_OUTAGE_MS:
            self._defer_removals_until_ms = now_ms + REREGISTRATION_GRACE_MS
        self._last_read_ms = now_ms

    def _record_era(self, revision: int) -> None:
        """Defer removals at the first read after a restoration of the store.

        The store then lacks what was written since its copy, until the
        operators and the targets have written that again.
        """
        era = revisions.era_of(revision)
        if era == self._era:
            return
        self._era = era
        former_revision = self._replica.largest_revision_before_era(era)
        if former_revision is None:
            return
        now_ms = model.now_ms()
        self._defer_removals_until_ms = now_ms + REREGISTRATION_GRACE_MS
        self._defer_zones_until_ms = now_ms + _ZONE_REWRITE_GRACE_MS
        eliot.log_message(
            message_type="store:restored",
            era=era,
            former_era=revisions.era_of(former_revision),
            revision=revisions.number_of(revision),
            former_revision=revisions.number_of(former_revision),
        )

    def _merge_result(self, result: readresults.ReadResult) -> None:
        received = result.changes
        if result.is_snapshot:
            listed_keys = {change.key for change in received}
            received += self._replica.implied_removals(
                listed_keys, result.revision
            )
        elif self._has_settled(model.now_ms()):
            received += self._replica.removals_of_former_eras(result.revision)
        received = tuple(
            change for change in received if not self._defers(change)
        )
        for change in received:
            self._deferred_removals.pop(change.key, None)
        self._replicator.merge_and_forward(received)
        self._log_differences(received)
        self._revision = result.revision

    def _has_settled(self, now_ms: float) -> bool:
        """Tell whether nothing is deferred after an outage or restoration."""
        return now_ms >= max(
            self._defer_removals_until_ms, self._defer_zones_until_ms
        )

    def _log_differences(
        self, received: collections.abc.Iterable[changes.Change]
    ) -> None:
        """Log what was read from the store but is not what the replica holds.

        The replica then has a newer state, from another host or from before
        the store was restored.
        """
        newest = {change.key: change for change in received}
        for change in newest.values():
            known = self._replica.newest_change(change.key)
            if known is not None and not self._replica.has_content(change):
                eliot.log_message(
                    message_type="store:not_applied",
                    key=change.key,
                    era=revisions.era_of(change.revision),
                    revision=revisions.number_of(change.revision),
                    known_era=revisions.era_of(known.revision),
                    known_revision=revisions.number_of(known.revision),
                )

    def _defers(self, change: changes.Change) -> bool:
        """Defer a change if it may only follow from lost writes.

        Returns whether it is deferred.
        """
        if model.now_ms() >= self._deferred_until_ms(change):
            return False
        self._deferred_removals[change.key] = change
        return True

    def _deferred_until_ms(self, change: changes.Change) -> float:
        """Return the clock time until which such changes are deferred."""
        if isinstance(change, changes.TargetRemoval):
            return self._defer_removals_until_ms
        if isinstance(change, changes.ZoneChange) and not change.is_out:
            return self._defer_zones_until_ms
        return 0.0

    def _merge_deferred_removals(self, now_ms: float) -> None:
        """Merge the deferred removals whose time has come."""
        due = [
            change
            for change in self._deferred_removals.values()
            if now_ms >= self._deferred_until_ms(change)
        ]
        for change in due:
            del self._deferred_removals[change.key]
        if due:
            self._replicator.merge_and_forward(due)
