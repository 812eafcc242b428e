"""Decodes the operator's configuration."""

import typing

import msgspec

from pomeloward import model
from pomeloward import policy as policies

_Row = typing.TypeVar("_Row")
# Longer than callers keep a connection that they still use.
_DEFAULT_WAIT_S = 120.0


class _Columns(msgspec.Struct):
    """A table whose rows have values in the order of its columns."""

    columns: list[str] = []
    rows: list[list[typing.Any]] = []


_Table = _Columns | list[dict[str, typing.Any]]


class _Backend(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct, rename="kebab"):
    name: str
    host: str
    prefix: str
    kind: str
    # The longest time that a caller is kept waiting.
    timeout_s: float | None = None
    # The latency objective.
    target_latency_s: float | None = None
    priority: int | None = None
    max_attempts: int | None = None
    public: bool | None = None
    # Either one service or several by weight.
    service: str | None = None
    weighted_backends: list[_Backend] | None = None


class _Service(msgspec.Struct, rename="kebab"):
    name: str
    max_connections: int | None = None
    warmup_per_s: float | None = None


class _Tenant(msgspec.Struct, rename="kebab"):
    name: str
    api_keys: list[str] | None = None
    priority: int | None = None
    rate_per_s: float | None = None
    burst: float | None = None


class _Limits(msgspec.Struct, rename="kebab"):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 67_108_864
    # From the first byte of a request's head to its last one.
    header_timeout_s: float = _DEFAULT_WAIT_S
    # Between two requests on a connection.
    idle_timeout_s: float = _DEFAULT_WAIT_S


class _Configuration(msgspec.Struct, rename="kebab"):
    # ``r`` and a number; a server's entry has a field of the same name that
    # means the release of its software.
    version: str
    routes: _Table = []
    services: _Table = []
    tenants: _Table = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


_DECODER = msgspec.json.Decoder(_Configuration)
_DEFAULT_TIMEOUT_S = 30.0
_DEFAULT_AIM_S = 1.0
_LOWEST_PRIORITY = 9


def decode_configuration(payload: bytes) -> policies.Policy:
    """Return the configuration; raises ``ConfigurationError``."""
    try:
        found = _DECODER.decode(payload)
        return policies.Policy(
            version=_version(found.version),
            routes=tuple(map(_route, _rows(found.routes, _Route))),
            services=tuple(map(_service, _rows(found.services, _Service))),
            teams=tuple(map(_team, _rows(found.tenants, _Tenant))),
            limits=policies.CallerLimits(
                header_bytes=found.limits.max_header_bytes,
                body_bytes=found.limits.max_body_bytes,
                head_ms=found.limits.header_timeout_s * 1_000,
                idle_ms=found.limits.idle_timeout_s * 1_000,
            ),
        )
    except (
        msgspec.MsgspecError,
        UnicodeError,
        RecursionError,
        ValueError,
    ) as error:
        raise model.ConfigurationError(f"configuration: {error}") from error


def _version(text: str) -> model.Version:
    if not text.startswith("r") or not text[1:].isdigit():
        raise ValueError(f"the version is {text!r}")
    return model.Version(int(text[1:]))


def _rows(table: _Table, row_type: type[_Row]) -> list[_Row]:
    """Read a table of columns and rows, or a list of objects."""
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


def _route(row: _Route) -> policies.Route:
    splits = [
        policies.Split(model.ServiceId(one.service), one.weight)
        for one in row.weighted_backends or []
        if one.weight > 0
    ]
    if not splits:
        if not row.service:
            raise ValueError(f"route {row.name} has no service")
        splits = [policies.Split(model.ServiceId(row.service), 1.0)]
    return policies.Route(
        id=model.RouteId(row.name),
        host=row.host.lower(),
        prefix=row.prefix,
        is_idempotent=row.kind == "idempotent",
        timeout_ms=(row.timeout_s or _DEFAULT_TIMEOUT_S) * 1_000,
        aim_ms=(row.target_latency_s or _DEFAULT_AIM_S) * 1_000,
        priority=_LOWEST_PRIORITY if row.priority is None else row.priority,
        splits=tuple(splits),
        max_attempts=max(1, row.max_attempts or 1),
        is_public=bool(row.public),
    )


def _service(row: _Service) -> policies.Service:
    return policies.Service(
        id=model.ServiceId(row.name),
        connections_per_target=row.max_connections or 100,
        cold_per_s=row.warmup_per_s or 0.0,
    )


def _team(row: _Tenant) -> policies.Team:
    return policies.Team(
        id=model.TeamId(row.name),
        digests=tuple(
            policies.key_digest(key.encode("utf-8"))
            for key in row.api_keys or []
        ),
        priority=row.priority,
        rate_per_s=row.rate_per_s or 0.0,
        burst_requests=row.burst or 0.0,
    )
