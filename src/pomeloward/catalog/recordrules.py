"""Rules that a record must keep by itself."""

import collections.abc
import math
import re
import typing

from pomeloward.catalog import kind
from pomeloward.catalog import records

# Deeper prefixes are refused, which bounds the look-ups for a long path.
MAX_PREFIX_SEGMENTS = 16
MAX_PARTITIONS = 4096
MAX_ROSTERS = 3
DIGEST_BYTES = 32

_ID = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,127}")
_METHOD = re.compile(r"[A-Z]{1,16}")
_SEGMENT = re.compile(r"[A-Za-z0-9._~!$&'()*+,;=:@-]+")
_URL = re.compile(r"https?://[A-Za-z0-9.\[\]:-]+/?")

Reasons = collections.abc.Iterator[str]


def broken_rules(record: records.Record) -> Reasons:
    """Yield the reason for every rule that a record breaks by itself."""
    for name, value in _ids(record):
        if _ID.fullmatch(value) is None:
            yield f"{name} {value!r} is not a valid id"
    yield from _RULES[kind.kind_of(record)](record)


def _ids(
    record: records.Record,
) -> collections.abc.Iterator[tuple[str, str]]:
    for name in ("id", "region", "zone", "service", "site", "team"):
        value = getattr(record, name, None)
        if value is not None:
            yield name, value


def _is_positive(value: float) -> bool:
    return math.isfinite(value) and value > 0


def _is_ratio(value: float) -> bool:
    return 0 <= value <= 1


def _region(record: records.Region) -> Reasons:
    if not 1 <= record.partitions <= MAX_PARTITIONS:
        yield f"partitions must be from 1 to {MAX_PARTITIONS}"
    if not _is_ratio(record.budget_share_ratio):
        yield "budget_share_ratio must be from 0 to 1"


def _host(record: records.Host) -> Reasons:
    if not record.address:
        yield "address is empty"
    for name in ("caller_port", "peer_port"):
        if not 1 <= getattr(record, name) <= 65_535:
            yield f"{name} must be from 1 to 65535"


def _roster(record: records.Roster) -> Reasons:
    if record.number < 1:
        yield "number must be at least 1"
    if not record.hosts:
        yield "hosts is empty"
    if len(set(record.hosts)) != len(record.hosts):
        yield "hosts names a host twice"
    if record.zones and len(record.zones) != len(record.hosts):
        yield "zones must name the zone of each host"


def _team(record: records.Team) -> Reasons:
    if not _is_positive(record.rate_per_s):
        yield "rate_per_s must be positive"
    if not 1 <= record.burst_requests < math.inf:
        yield "burst_requests must be at least 1 and finite"
    if not _is_positive(record.weight):
        yield "weight must be positive"


def _key(record: records.Key) -> Reasons:
    if len(record.digest) != DIGEST_BYTES:
        yield f"digest must have {DIGEST_BYTES} bytes"


def _service(record: records.Service) -> Reasons:
    if not _is_ratio(record.floor_ratio):
        yield "floor_ratio must be from 0 to 1"
    if record.slots_per_target < 1:
        yield "slots_per_target must be at least 1"
    if record.connections_per_target < 1:
        yield "connections_per_target must be at least 1"


def _route(record: records.Route) -> Reasons:
    yield from _prefix(record.path_prefix)
    if not record.methods:
        yield "methods is empty"
    if len(set(record.methods)) != len(record.methods):
        yield "methods names a method twice"
    for method in record.methods:
        if _METHOD.fullmatch(method) is None:
            yield f"method {method!r} must be in upper-case letters"
    if not _is_positive(record.deadline_ms):
        yield "deadline_ms must be positive"
    if record.teams and record.access is records.RouteAccess.OPEN:
        yield "an open route cannot be limited to teams"


def _prefix(prefix: str) -> Reasons:
    if prefix == "/":
        return
    segments = prefix.split("/")
    if segments[0] or len(segments) < 2:
        yield "path_prefix must start with a slash"
    if len(segments) - 1 > MAX_PREFIX_SEGMENTS:
        yield f"path_prefix has more than {MAX_PREFIX_SEGMENTS} segments"
    for segment in segments[1:]:
        if segment in ("", ".", "..") or _SEGMENT.fullmatch(segment) is None:
            yield f"path_prefix has the segment {segment!r}"


def _target(record: records.Target) -> Reasons:
    if _URL.fullmatch(record.url) is None:
        yield "url must be http or https with host and port only"
    if record.slots < 0:
        yield "slots must not be negative"


def _share(record: records.SiteShare) -> Reasons:
    if not _is_ratio(record.share_ratio):
        yield "share_ratio must be from 0 to 1"


def _zone(record: records.Zone) -> Reasons:
    yield from ()


_RULES: dict[kind.Kind, collections.abc.Callable[[typing.Any], Reasons]] = {
    kind.Kind.REGION: _region,
    kind.Kind.ZONE: _zone,
    kind.Kind.HOST: _host,
    kind.Kind.ROSTER: _roster,
    kind.Kind.TEAM: _team,
    kind.Kind.KEY: _key,
    kind.Kind.SERVICE: _service,
    kind.Kind.ROUTE: _route,
    kind.Kind.TARGET: _target,
    kind.Kind.SHARE: _share,
}
