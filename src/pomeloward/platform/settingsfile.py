"""The settings file that the platform writes for each process."""

import pathlib
import tomllib
import typing

import msgspec

from pomeloward import model
from pomeloward import settings

SETTINGS_PATH_VARIABLE = "POMELOWARD_CONFIG"

_Text = dict[str, typing.Any]


class _Listen(msgspec.Struct):
    # Callers' requests.
    front: str
    ready: str
    # Traffic between hosts; seeds name these addresses.
    control: str
    directory: str


class _Limits(msgspec.Struct, rename="kebab"):
    cpu_share: float = 1.0
    cores: float = 1.0
    max_fds: int = 1_024
    # Megabits per second.
    bandwidth_mbps: float = 1_000.0


class _Store(msgspec.Struct):
    address: str


class _File(msgspec.Struct, rename="kebab"):
    # The machine's name.
    node: str
    zone: str
    listen: _Listen
    platform: _Store
    zones: dict[str, str] = {}
    seeds: list[str] = []
    # True only at the first start of the whole fleet.
    bootstrap: bool = False
    # Texts ``name=value``.
    bounds: list[str] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


# Descriptors that the platform keeps for files.
_FILE_DESCRIPTORS = 200


def load_settings(path: pathlib.Path) -> settings.EdgeSettings:
    """Read the settings file; raises ``SettingsError`` naming the field."""
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
        given = msgspec.convert(document, _File, strict=False)
    except OSError as error:
        raise model.SettingsError(
            f"settings file {path}: cannot be read: {error.strerror}"
        ) from error
    except (
        tomllib.TOMLDecodeError,
        UnicodeDecodeError,
        msgspec.ValidationError,
    ) as error:
        raise model.SettingsError(f"settings file {path}: {error}") from error
    return settings.EdgeSettings(
        name=given.node,
        host=model.HostId(given.listen.control),
        zone=model.ZoneId(given.zone),
        zones=tuple(model.ZoneId(zone) for zone in sorted(given.zones)),
        callers=_endpoint("listen.front", given.listen.front),
        ready=_endpoint("listen.ready", given.listen.ready),
        peers=_endpoint("listen.control", given.listen.control),
        directory=_endpoint("listen.directory", given.listen.directory),
        store=_endpoint("platform.address", given.platform.address),
        seeds=tuple(model.HostId(seed) for seed in given.seeds),
        is_first_start=given.bootstrap,
        cores=given.limits.cpu_share * given.limits.cores,
        link_mbps=given.limits.bandwidth_mbps,
        descriptors=max(1, given.limits.max_fds - _FILE_DESCRIPTORS),
        bounds=_bounds(given.bounds),
    )


def _endpoint(field: str, text: str) -> settings.Endpoint:
    ip_address, _, port = text.rpartition(":")
    if not ip_address or not port.isdigit():
        raise model.SettingsError(
            f"{field}: found {text!r}; allowed: an address ip:port"
        )
    return settings.Endpoint(ip_address, int(port))


def _bounds(texts: list[str]) -> settings.Bounds:
    values = {}
    for text in texts:
        name, _, value = text.partition("=")
        values[name] = value
    defaults = settings.Bounds()

    def number(name: str, default: float) -> float:
        text = values.get(name)
        if text is None:
            return default
        try:
            return float(text)
        except ValueError as error:
            raise model.SettingsError(
                f"bounds: found {name}={text!r}; allowed: a number"
            ) from error

    return settings.Bounds(
        retry_ratio=number("retry-budget-ratio", defaults.retry_ratio),
        retry_slack=number("budget-slack", defaults.retry_slack),
        stop_ms=number("grace-s", defaults.stop_ms / 1_000) * 1_000,
        address_ms=number("ttl_max_s", defaults.address_ms / 1_000) * 1_000,
    )
