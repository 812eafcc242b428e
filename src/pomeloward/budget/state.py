"""State of buckets in a planned hand-over; all times are relative."""

import msgspec

from pomeloward import model


class LoanState(msgspec.Struct, frozen=True, array_like=True):
    """A loan that has not ended."""

    host: model.HostId
    number: int
    granted: int
    spent: int
    kept: int
    remaining_ms: float


class BucketState(msgspec.Struct, frozen=True, array_like=True):
    """A bucket's level, the wait before its refill starts, and loans."""

    level_requests: float
    blocked_ms: float
    loans: tuple[LoanState, ...]


class NamedBucket(msgspec.Struct, frozen=True, array_like=True):
    """A bucket with the team and index of its portion."""

    team: model.TeamId
    region: model.RegionId
    index: int
    rate_per_s: float
    burst_requests: float
    bucket: BucketState


class PartitionState(msgspec.Struct, frozen=True, array_like=True):
    """All buckets of a partition.

    ``refilled_ms`` is how long buckets that are not listed have refilled
    from empty; it is negative while old loans may be in use.
    """

    refilled_ms: float
    buckets: tuple[NamedBucket, ...]
