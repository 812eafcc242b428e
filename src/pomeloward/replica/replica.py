"""The state that all hosts copy from the platform."""

import collections.abc

import msgspec
import xxhash

from pomeloward import model
from pomeloward import policy as policies
from pomeloward.replica import change as changes
from pomeloward.replica import target as targets

_ENCODER = msgspec.msgpack.Encoder()


class Replica:
    """Merges changes from the store and from other hosts.

    Merging is commutative: each key keeps the change with the largest
    revision, and removed targets leave a tombstone. A configuration never
    goes back to an older version, whatever its revision. ``digest`` is the
    same on two hosts that know the same.
    """

    def __init__(self) -> None:
        self._changes: dict[str, changes.Change] = {}
        self._hashes: dict[str, int] = {}
        self.digest = 0
        self.policy: policies.Policy | None = None

    def targets(self) -> list[targets.Target]:
        """Return all registered targets, leaving ones included."""
        return [
            one.target
            for one in self._changes.values()
            if isinstance(one, changes.TargetChange)
        ]

    def zones_out_of_service(self) -> frozenset[model.ZoneId]:
        """Return the availability zones that are out of service."""
        return frozenset(
            one.zone
            for one in self._changes.values()
            if isinstance(one, changes.ZoneChange) and one.is_out
        )

    def newest_changes(self) -> tuple[changes.Change, ...]:
        """Return the newest change of each key."""
        return tuple(self._changes.values())

    def merge(
        self, received: collections.abc.Iterable[changes.Change]
    ) -> tuple[changes.Change, ...]:
        """Take changes; return those that made a difference."""
        return tuple(one for one in received if self._take(one))

    def implied_removals(
        self, listed: collections.abc.Container[str], revision: int
    ) -> tuple[changes.Change, ...]:
        """Return the removals that a whole listing at a revision implies."""
        removals: list[changes.Change] = []
        for key, known in self._changes.items():
            if key in listed or known.revision > revision:
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

    def _take(self, received: changes.Change) -> bool:
        key = received.key
        known = self._changes.get(key)
        if known is not None and known.revision >= received.revision:
            return False
        if isinstance(received, changes.PolicyChange):
            if self.policy and received.policy.version <= self.policy.version:
                return False
            self.policy = received.policy
        self._changes[key] = received
        content = _content_hash(received)
        if content == self._hashes.get(key):
            return False
        self.digest ^= self._hashes.get(key, 0) ^ content
        self._hashes[key] = content
        return True


def _content_hash(one: changes.Change) -> int:
    """Hash a change without its revision, which heartbeats advance."""
    if isinstance(one, changes.PolicyChange):
        parts: object = ("policy", one.policy.version)
    elif isinstance(one, changes.TargetChange):
        parts = ("target", one.target)
    elif isinstance(one, changes.TargetRemoval):
        # A host that never knew the target agrees with one that does.
        return 0
    elif one.is_out:
        parts = ("zone", one.zone)
    else:
        return 0
    return xxhash.xxh3_64_intdigest(_ENCODER.encode(parts))
