"""All buckets that a host holds as an owner of partitions."""

import collections.abc
import dataclasses

import msgspec

from pomeloward import model
from pomeloward.budget import bucket
from pomeloward.budget import loan
from pomeloward.budget import messages
from pomeloward.budget import portion
from pomeloward.budget import state

_Name = tuple[model.TeamId, model.RegionId, int]


@dataclasses.dataclass(slots=True)
class _Held:
    refill_from_ms: float
    buckets: dict[_Name, bucket.Bucket]
    portions: dict[_Name, portion.Portion]


class Lender:
    """The owner's side of rate limits.

    Buckets are created by the first question. A bucket that is full and has
    no loans is dropped, since a new one would be the same.
    """

    def __init__(self) -> None:
        self._held: dict[model.PartitionId, _Held] = {}

    def acquire(
        self,
        partition: model.PartitionId,
        exported: bytes | None,
        now_ms: float,
    ) -> None:
        """Start to own a partition.

        Without a predecessor's state the buckets start empty, and refill
        starts only when every loan of the predecessor has ended: it may have
        lent the whole burst just before.
        """
        refill_from_ms = model.outstanding_until_ms(
            now_ms, loan.LOAN_LIFETIME_MS
        )
        held = _Held(refill_from_ms, {}, {})
        self._held[partition] = held
        try:
            known = msgspec.msgpack.decode(
                exported or b"", type=state.PartitionState
            )
        except msgspec.DecodeError:
            # There is none, or another release wrote it.
            return
        held.refill_from_ms = now_ms - known.refilled_ms
        for named in known.buckets:
            name = (named.team, named.region, named.index)
            held.portions[name] = portion.Portion(
                *name, named.rate_per_s, named.burst_requests
            )
            restored = bucket.Bucket(
                named.rate_per_s, named.burst_requests, now_ms, now_ms
            )
            restored.restore(named.bucket, now_ms)
            held.buckets[name] = restored

    def lose(self, partition: model.PartitionId) -> None:
        """Forget a partition that this host no longer owns."""
        self._held.pop(partition, None)

    def export(self, partition: model.PartitionId, now_ms: float) -> bytes:
        """Return the state for a successor and stop lending."""
        held = self._held.pop(partition, None)
        if held is None:
            return b""
        buckets = tuple(
            state.NamedBucket(
                *name,
                held.portions[name].rate_per_s,
                held.portions[name].burst_requests,
                lending.export(now_ms),
            )
            for name, lending in held.buckets.items()
        )
        return msgspec.msgpack.encode(
            state.PartitionState(now_ms - held.refill_from_ms, buckets)
        )

    def lend(
        self,
        partition: model.PartitionId,
        lent_portion: portion.Portion,
        host: model.HostId,
        question: messages.TakeTokens,
        now_ms: float,
    ) -> messages.Tokens:
        """Answer a question for tokens."""
        held = self._held.get(partition)
        if held is None:
            return messages.Tokens(number=question.number, is_owner=False)
        lending = self._bucket(held, lent_portion, now_ms)
        for report in question.reports:
            lending.report(
                (host, report.number), report.spent, report.kept, now_ms
            )
        granted = lending.lend(
            (host, question.number), question.need, question.extra, now_ms
        )
        return messages.Tokens(
            number=question.number,
            granted=granted,
            lifetime_ms=loan.LOAN_LIFETIME_MS,
            retry_after_ms=0.0 if granted else lending.retry_after_ms(),
            fill_percent=lending.fill_percent,
        )

    def report(
        self,
        partition: model.PartitionId,
        host: model.HostId,
        notice: messages.ReportTokens,
        now_ms: float,
    ) -> None:
        """Take in a notice on loans."""
        held = self._held.get(partition)
        name = (notice.team, notice.region, notice.portion)
        if held is None or name not in held.buckets:
            return
        for report in notice.reports:
            held.buckets[name].report(
                (host, report.number), report.spent, report.kept, now_ms
            )

    def tune(
        self,
        find: collections.abc.Callable[
            [model.TeamId, model.RegionId, int], portion.Portion
        ],
        now_ms: float,
    ) -> None:
        """Apply a new configuration to every bucket, and drop idle ones."""
        for held in self._held.values():
            for name, lending in list(held.buckets.items()):
                lending.advance(now_ms)
                if lending.is_idle and held.portions[name] == find(*name):
                    del held.buckets[name], held.portions[name]
                else:
                    self._tune(held, find(*name), now_ms)

    def _bucket(
        self, held: _Held, wanted: portion.Portion, now_ms: float
    ) -> bucket.Bucket:
        name = (wanted.team, wanted.region, wanted.index)
        if name not in held.buckets:
            held.portions[name] = wanted
            held.buckets[name] = bucket.Bucket(
                wanted.rate_per_s,
                wanted.burst_requests,
                held.refill_from_ms,
                now_ms,
            )
        self._tune(held, wanted, now_ms)
        return held.buckets[name]

    def _tune(
        self, held: _Held, wanted: portion.Portion, now_ms: float
    ) -> None:
        name = (wanted.team, wanted.region, wanted.index)
        if held.portions[name] != wanted:
            held.portions[name] = wanted
            held.buckets[name].tune(
                wanted.rate_per_s, wanted.burst_requests, now_ms
            )
