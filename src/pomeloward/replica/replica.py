"""A host's copy of what the platform publishes."""

import collections.abc

import msgspec
import xxhash

from pomeloward import model
from pomeloward import policy as policies
from pomeloward.replica import change as changes
from pomeloward.replica import precedence
from pomeloward.replica import revision as revisions
from pomeloward.replica import target as targets

_ENCODER = msgspec.msgpack.Encoder()
_MAX_PACKED_INTEGER = 2**64 - 1


class Replica:
    """Merges changes from the store and from other hosts.

    Merging is commutative: each key keeps the change that applies by
    ``precedence``, and removed targets leave a tombstone. A configuration is
    never replaced by an older version, whatever its revision. ``digest`` is
    the same on two hosts with the same state.
    """

    def __init__(self) -> None:
        self._newest_changes: dict[str, changes.Change] = {}
        self._content_hashes: dict[str, int] = {}
        # The XOR of all content hashes.
        self.digest = 0
        # The newest version of the operators' configuration, if known.
        self.policy: policies.Policy | None = None

    def largest_revision_before_era(self, era: int) -> int | None:
        """Return the largest known revision of former eras, None without."""
        return max(
            (
                change.revision
                for change in self._newest_changes.values()
                if revisions.era_of(change.revision) < era
            ),
            default=None,
        )

    def targets(self) -> list[targets.Target]:
        """Return all registered targets, including those that drain."""
        return [
            change.target
            for change in self._newest_changes.values()
            if isinstance(change, changes.TargetChange)
        ]

    def zones_out_of_service(self) -> frozenset[model.ZoneId]:
        """Return the availability zones that are out of service."""
        return frozenset(
            change.zone
            for change in self._newest_changes.values()
            if isinstance(change, changes.ZoneChange) and change.is_out
        )

    def newest_changes(self) -> tuple[changes.Change, ...]:
        """Return the newest change of each key."""
        return tuple(self._newest_changes.values())

    def newest_change(self, key: str) -> changes.Change | None:
        """Return the newest change of a key, None if there is none."""
        return self._newest_changes.get(key)

    def has_content(self, change: changes.Change) -> bool:
        """Tell whether the content of a change is that of its key here."""
        return _content_hash(change) == self._content_hashes.get(change.key, 0)

    def merge(
        self, received: collections.abc.Iterable[changes.Change]
    ) -> tuple[changes.Change, ...]:
        """Merge changes; return those whose content was new here."""
        return tuple(
            self._newest_changes[change.key]
            for change in received
            if self._merges_new_content(change)
        )

    def implied_removals(
        self, listed_keys: collections.abc.Container[str], revision: int
    ) -> tuple[changes.Change, ...]:
        """Return the removals that a snapshot at a revision implies.

        A target or zone out of service that is known here at no larger
        revision, but isn't among the snapshot's keys, was removed.
        """
        removals: list[changes.Change] = []
        for key, known in self._newest_changes.items():
            if key in listed_keys or known.revision > revision:
                continue
            if isinstance(known, changes.TargetChange):
                removals.append(
                    changes.TargetRemoval(revision, known.target.id)
                )
            elif isinstance(known, changes.ZoneChange) and known.is_out:
                removals.append(
                    changes.ZoneChange(revision, known.zone, False)
                )
        return tuple(removals)

    def removals_of_former_eras(
        self, revision: int
    ) -> tuple[changes.Change, ...]:
        """Return the removals of what no read in a revision's era confirmed.

        Other hosts may still report targets and zones out of service that a
        restored store does not have.
        """
        confirmed_keys = {
            key
            for key, known in self._newest_changes.items()
            if revisions.era_of(known.revision) >= revisions.era_of(revision)
        }
        return self.implied_removals(confirmed_keys, revision)

    def _merges_new_content(self, received: changes.Change) -> bool:
        """Merge a change; return whether its content was new here."""
        key = received.key
        known = self._newest_changes.get(key)
        if isinstance(received, changes.PolicyChange):
            if self.policy and received.policy.version <= self.policy.version:
                return False
            self.policy = received.policy
        elif known is not None:
            received = precedence.resolve_changes(known, received)
            if received == known:
                return False
        self._newest_changes[key] = received
        content_hash = _content_hash(received)
        if content_hash == self._content_hashes.get(key):
            return False
        self.digest ^= self._content_hashes.get(key, 0) ^ content_hash
        self._content_hashes[key] = content_hash
        return True


def _content_hash(change: changes.Change) -> int:
    """Return a hash of a change without its revision.

    The revision is left out, since each heartbeat of a target increases it.
    The hash of a target's removal and of a zone in service is 0, so that a
    host that never knew the target or zone has the same digest.
    """
    if isinstance(change, changes.PolicyChange):
        version = change.policy.version
        # MessagePack has no integers over 64 bits.
        content: object = (
            "policy",
            version if version <= _MAX_PACKED_INTEGER else str(version),
        )
    elif isinstance(change, changes.TargetChange):
        content = ("target", change.target)
    elif isinstance(change, changes.TargetRemoval):
        return 0
    elif change.is_out:
        content = ("zone", change.zone)
    else:
        return 0
    return xxhash.xxh3_64_intdigest(_ENCODER.encode(content))
