"""Decodes the operators' configuration from the platform's store."""

import re
import typing

import msgspec

from pomeloward import model
from pomeloward import policy as policies

_Row = typing.TypeVar("_Row")
_Number = typing.TypeVar("_Number", int, float)
# Longer than the pauses on a connection that its caller still uses.
_DEFAULT_CALLER_TIMEOUT_S = 120.0


class _ColumnarTable(msgspec.Struct):
    """A table whose rows have values in the order of its columns."""

    columns: list[str] = []
    rows: list[list[typing.Any]] = []


_Table = _ColumnarTable | list[dict[str, typing.Any]]


class _WeightedBackend(msgspec.Struct):
    service: str
    weight: float


class _RouteRow(msgspec.Struct, rename="kebab"):
    name: str
    host: str
    prefix: str
    # Requests may be repeated only if this is ``idempotent``.
    kind: str
    # The longest time that a caller waits for a response.
    timeout_s: float | None = None
    # The latency objective of the route, not the latency of a target.
    target_latency_s: float | None = None
    # 0 is the most urgent.
    priority: int | None = None
    max_attempts: int | None = None
    # Requests to a public route need no API key.
    public: bool | None = None
    # A route has either one service or several by weight.
    service: str | None = None
    weighted_backends: list[_WeightedBackend] | None = None


class _ServiceRow(msgspec.Struct, rename="kebab"):
    name: str
    # The limit applies to each target of the service.
    max_connections: int | None = None
    # Requests per second that a cold target bears.
    warmup_per_s: float | None = None


class _TenantRow(msgspec.Struct, rename="kebab"):
    name: str
    api_keys: list[str] | None = None
    priority: int | None = None
    rate_per_s: float | None = None
    # Capacity of the tenant's token bucket, in requests.
    burst: float | None = None


class _CallerLimits(msgspec.Struct, rename="kebab"):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    # From the first byte of a request's head to its last one.
    header_timeout_s: float = _DEFAULT_CALLER_TIMEOUT_S
    # Between two requests on a connection.
    idle_timeout_s: float = _DEFAULT_CALLER_TIMEOUT_S


class _Configuration(msgspec.Struct, rename="kebab"):
    # The letter ``r`` and a number. A target's entry has a field of the same
    # name that means the release of its software.
    version: str
    routes: _Table = []
    services: _Table = []
    tenants: _Table = []
    limits: _CallerLimits = msgspec.field(default_factory=_CallerLimits)


_DECODER = msgspec.json.Decoder(_Configuration)
_VERSION = re.compile(rf"r([0-9]{{1,{model.MAX_VERSION_DIGITS}}})")
_MAX_QUOTED = 40
# Values beyond these bounds have the effect of the bound. The store has
# accepted them, so that they don't make the configuration invalid.
_MAX_TIME_S = 86_400.0
_MAX_COUNT = 2**31 - 1
_MAX_RATE = 1e9
# Each attempt goes to another target.
_MAX_ATTEMPTS = 1_000
_DEFAULT_TIMEOUT_S = 30.0
_DEFAULT_TARGET_LATENCY_S = 1.0
_LOWEST_PRIORITY = 9


def decode_configuration(payload: bytes) -> policies.Policy:
    """Return the policy that a JSON configuration describes.

    Raises ``ConfigurationError`` if any part of it is invalid.
    """
    try:
        decoded = _DECODER.decode(payload)
        return policies.Policy(
            version=_parse_version(decoded.version),
            routes=tuple(
                map(_convert_route, _convert_rows(decoded.routes, _RouteRow))
            ),
            services=tuple(
                map(
                    _convert_service,
                    _convert_rows(decoded.services, _ServiceRow),
                )
            ),
            teams=tuple(
                map(_convert_team, _convert_rows(decoded.tenants, _TenantRow))
            ),
            limits=policies.CallerLimits(
                header_bytes=_clamp(
                    decoded.limits.max_header_bytes, _MAX_COUNT
                ),
                body_bytes=_clamp(decoded.limits.max_body_bytes, _MAX_COUNT),
                head_ms=_to_ms(decoded.limits.header_timeout_s),
                idle_ms=_to_ms(decoded.limits.idle_timeout_s),
            ),
        )
    except (
        msgspec.MsgspecError,
        UnicodeError,
        RecursionError,
        ValueError,
    ) as error:
        raise model.ConfigurationError(f"configuration: {error}") from error


def _parse_version(text: str) -> model.Version:
    found = _VERSION.fullmatch(text)
    if found is None:
        raise ValueError(
            f"version {text[:_MAX_QUOTED]!r} is not r and a number"
        )
    return model.Version(int(found.group(1)))


def _convert_rows(table: _Table, row_type: type[_Row]) -> list[_Row]:
    """Return the rows of a table as structs.

    A null in a columnar table leaves the field at its default.
    """
    if isinstance(table, list):
        rows = table
    else:
        rows = [
            {
                name: value
                for name, value in zip(table.columns, row, strict=False)
                if value is not None
            }
            for row in table.rows
        ]
    return [msgspec.convert(row, row_type) for row in rows]


def _convert_route(row: _RouteRow) -> policies.Route:
    splits = [
        policies.WeightedService(
            model.ServiceId(backend.service), min(backend.weight, _MAX_RATE)
        )
        for backend in row.weighted_backends or []
        if backend.weight > 0
    ]
    if not splits:
        if not row.service:
            raise ValueError(
                f"route {row.name} has no service and no weighted backend"
            )
        splits = [policies.WeightedService(model.ServiceId(row.service), 1.0)]
    return policies.Route(
        id=model.RouteId(row.name),
        host=row.host.lower(),
        prefix=row.prefix,
        is_idempotent=row.kind == "idempotent",
        timeout_ms=_to_ms(row.timeout_s or _DEFAULT_TIMEOUT_S),
        aim_ms=_to_ms(row.target_latency_s or _DEFAULT_TARGET_LATENCY_S),
        priority=(
            _LOWEST_PRIORITY
            if row.priority is None
            else _clamp(row.priority, _MAX_COUNT)
        ),
        splits=tuple(splits),
        max_attempts=max(1, _clamp(row.max_attempts or 1, _MAX_ATTEMPTS)),
        is_public=bool(row.public),
    )


def _convert_service(row: _ServiceRow) -> policies.Service:
    return policies.Service(
        id=model.ServiceId(row.name),
        connections_per_target=_clamp(row.max_connections or 100, _MAX_COUNT),
        cold_per_s=_clamp(row.warmup_per_s or 0.0, _MAX_RATE),
    )


def _convert_team(row: _TenantRow) -> policies.Team:
    return policies.Team(
        id=model.TeamId(row.name),
        digests=tuple(
            policies.hash_api_key(key.encode("utf-8"))
            for key in row.api_keys or []
        ),
        priority=(
            None if row.priority is None else _clamp(row.priority, _MAX_COUNT)
        ),
        rate_per_s=_clamp(row.rate_per_s or 0.0, _MAX_RATE),
        burst_requests=_clamp(row.burst or 0.0, _MAX_RATE),
    )


def _clamp(value: _Number, largest: _Number) -> _Number:
    """Return the number from 0 to ``largest`` that is nearest to a value."""
    return max(type(value)(0), min(value, largest))


def _to_ms(duration_s: float) -> float:
    """Return a duration in milliseconds, a day at most."""
    return _clamp(duration_s, _MAX_TIME_S) * 1_000
