"""Rate limits that targets name, and this host's share of each."""

import collections.abc
import dataclasses
import enum
import math
import random

from pomeloward import model
from pomeloward import quota
from pomeloward import replica
from pomeloward.balance import messages

# Interval of reports of limits that have not changed.
LIMIT_REPORT_INTERVAL_MS = 1_000.0
# A report stays valid when the next two are lost.
_REPORT_LIFETIME_MS = 3 * LIMIT_REPORT_INTERVAL_MS
# How long a limit is known from an answer beyond the time in which this
# host's share allows two more requests. Only their answers show its end.
_ANSWER_LIFETIME_MS = 5_000.0
_MAX_SHARE_INTERVAL_MS = 30_000.0
# A share allows as many requests at once as accrue in this time, or one.
_BURST_INTERVAL_S = 0.5
# A target that takes no requests is asked at this rate whether that is over.
_MIN_RATE_PER_S = 0.1
# Source of a limit that this host heard in an answer, and of its end when
# nothing confirms it any more.
_ANSWER_SOURCE = "answer"
_EXPIRY_SOURCE = "expired"

OnLimitChange = collections.abc.Callable[
    [replica.Target, float | None, str], None
]


class _Source(enum.IntEnum):
    """Where a limit was heard, the best source first.

    ``ANSWER``: in an answer of the target. ``REPORT``: from a host of the
    target's zone. ``RELAY``: from a host of this zone about another zone.
    """

    ANSWER = 0
    REPORT = 1
    RELAY = 2


@dataclasses.dataclass(slots=True)
class _Claim:
    """A limit as heard from one source, and until when it is valid."""

    limit_per_s: float
    until_ms: float


@dataclasses.dataclass(slots=True)
class _KnownLimit:
    """What is known of one target's limit.

    ``bucket`` has the tokens of this host's share.
    """

    claims: dict[_Source, _Claim]
    bucket: quota.ReplicatedTokenBucket

    @property
    def limit_per_s(self) -> float | None:
        """The limit by the best source, None if no source names one."""
        if not self.claims:
            return None
        return self.claims[min(self.claims)].limit_per_s

    def expire_claims(self, now_ms: float) -> None:
        """Drop the claims whose time is over."""
        self.claims = {
            source: claim
            for source, claim in self.claims.items()
            if now_ms < claim.until_ms
        }


class TargetLimits:
    """Keeps the hosts of the fleet within the limits that targets name.

    A limit is the number of requests per second that a target takes from all
    hosts together. The hosts of the target's zone divide it in proportion to
    their load, and other hosts send nothing while they know of the limit. An
    active host tells the others which limits it has heard.

    Example::

        limits = TargetLimits(zone, on_change, rng)
        limits.update_targets(targets)
        limits.record_answer(target_id, 2.5, now_ms)
        if limits.allows_start(target_id, now_ms):
            limits.record_start(target_id, now_ms)
    """

    def __init__(
        self,
        zone: model.ZoneId,
        on_change: OnLimitChange,
        rng: random.Random,
    ) -> None:
        """Create the limits of a host in ``zone``.

        ``on_change`` is called with a target, its limit in requests per
        second, None if it names none, and the source of this knowledge:
        "answer", the host that reported the limit, or "expired".
        """
        self._zone = zone
        self._on_change = on_change
        self._rng = rng
        self._targets: dict[model.TargetId, replica.Target] = {}
        self._known: dict[model.TargetId, _KnownLimit] = {}
        self._load_ratio = 1.0
        self._adopted_zones = frozenset[model.ZoneId]()

    @property
    def limited_count(self) -> int:
        """The number of targets that name a limit."""
        return len(self._known)

    def update_targets(
        self, targets: collections.abc.Iterable[replica.Target]
    ) -> None:
        """Replace the registered targets; a restarted one names no limit."""
        known_targets = self._targets
        self._targets = {target.id: target for target in targets}
        for target_id in list(self._known):
            target = self._targets.get(target_id)
            if target is None or target.has_restarted_since(
                known_targets[target_id]
            ):
                del self._known[target_id]

    def update_share(
        self, load_ratio: float, adopted_zones: frozenset[model.ZoneId]
    ) -> None:
        """Update this host's share of the limits.

        ``load_ratio`` is its part of its zone's load. ``adopted_zones`` are
        zones without hosts, whose targets it uses like those of its own.
        """
        self._load_ratio = load_ratio
        self._adopted_zones = adopted_zones

    def record_answer(
        self,
        target_id: model.TargetId,
        limit_per_s: float | None,
        now_ms: float,
    ) -> None:
        """Record the limit that a target's answer names, None if none."""
        target = self._targets.get(target_id)
        if target is None:
            return
        if limit_per_s is None:
            if self._known.pop(target_id, None) is not None:
                self._on_change(target, None, _ANSWER_SOURCE)
            return
        share_per_s = self._usable_per_s(target, limit_per_s)
        next_starts_ms = 2_000.0 / share_per_s if share_per_s > 0 else 0.0
        claim = _Claim(
            limit_per_s,
            now_ms
            + _ANSWER_LIFETIME_MS
            + min(_MAX_SHARE_INTERVAL_MS, next_starts_ms),
        )
        self._update(target, _Source.ANSWER, claim, _ANSWER_SOURCE, now_ms)

    def apply_report(
        self,
        reporter: model.HostId,
        reporter_zone: model.ZoneId,
        limits: collections.abc.Iterable[messages.TargetLimit],
        now_ms: float,
    ) -> None:
        """Record the limits that another host reports.

        A host of another zone reports the limits of that zone's targets, and
        one of the same zone all that it knows.
        """
        for reported in limits:
            target = self._targets.get(reported.target)
            if (
                target is None
                or reporter_zone not in (self._zone, target.zone)
                or not 0 <= reported.limit_per_s < math.inf
            ):
                continue
            source = (
                _Source.REPORT
                if reporter_zone == target.zone
                else _Source.RELAY
            )
            claim = _Claim(reported.limit_per_s, now_ms + _REPORT_LIFETIME_MS)
            self._update(target, source, claim, reporter, now_ms)

    def expire(self, now_ms: float) -> None:
        """Forget the limits that nothing has confirmed for long."""
        for target_id, known in list(self._known.items()):
            limit_per_s = known.limit_per_s
            known.expire_claims(now_ms)
            if known.limit_per_s is None:
                del self._known[target_id]
            if known.limit_per_s != limit_per_s:
                self._on_change(
                    self._targets[target_id],
                    known.limit_per_s,
                    _EXPIRY_SOURCE,
                )

    def share_per_s(self, target_id: model.TargetId) -> float | None:
        """Return this host's share of a target's limit, None without one."""
        known = self._known.get(target_id)
        if known is None or known.limit_per_s is None:
            return None
        return self._usable_per_s(self._targets[target_id], known.limit_per_s)

    def allows_start(self, target_id: model.TargetId, now_ms: float) -> bool:
        """Tell whether one more attempt is within this host's share."""
        share_per_s = self.share_per_s(target_id)
        if share_per_s is None:
            return True
        if share_per_s <= 0:
            return False
        bucket = self._known[target_id].bucket
        bucket.update_limits(
            share_per_s, max(1.0, share_per_s * _BURST_INTERVAL_S), now_ms
        )
        return bucket.time_to_next_token_ms(now_ms) <= 0

    def record_start(self, target_id: model.TargetId, now_ms: float) -> None:
        """Count the start of an attempt at a target."""
        known = self._known.get(target_id)
        if known is not None:
            known.bucket.subtract_tokens(1, now_ms)

    def answered_limits(self) -> tuple[messages.TargetLimit, ...]:
        """Return the limits that targets of this zone named in answers."""
        return tuple(
            messages.TargetLimit(
                target_id, known.claims[_Source.ANSWER].limit_per_s
            )
            for target_id, known in self._known.items()
            if _Source.ANSWER in known.claims
            and self._targets[target_id].zone == self._zone
        )

    def relayed_limits(self) -> tuple[messages.TargetLimit, ...]:
        """Return the limits of other zones' targets for hosts of this zone.

        Those that are known from a relay only are left out: hosts that relay
        to each other would never forget them.
        """
        return tuple(
            messages.TargetLimit(target_id, known.limit_per_s)
            for target_id, known in self._known.items()
            if known.limit_per_s is not None
            and min(known.claims) is not _Source.RELAY
            and self._targets[target_id].zone != self._zone
        )

    def _usable_per_s(
        self, target: replica.Target, limit_per_s: float
    ) -> float:
        """Return the part of a limit that this host may use."""
        if target.zone != self._zone and (
            target.zone not in self._adopted_zones
        ):
            return 0.0
        return self._load_ratio * max(_MIN_RATE_PER_S, limit_per_s)

    def _update(
        self,
        target: replica.Target,
        source: _Source,
        claim: _Claim,
        logged_source: str,
        now_ms: float,
    ) -> None:
        """Replace the claim of a source, and report a change of the limit."""
        known = self._known.get(target.id)
        limit_per_s = known.limit_per_s if known is not None else None
        if known is None:
            # Hosts hear of a limit together; with equal tokens, those that
            # have small shares would all send their first request together.
            bucket = quota.ReplicatedTokenBucket(
                _MIN_RATE_PER_S, 1.0, self._rng.random(), now_ms
            )
            known = _KnownLimit({}, bucket)
            self._known[target.id] = known
        known.claims[source] = claim
        if known.limit_per_s != limit_per_s:
            self._on_change(target, known.limit_per_s, logged_source)
