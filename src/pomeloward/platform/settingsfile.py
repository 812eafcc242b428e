"""Reads the settings file that the platform writes for each process."""

import pathlib
import tomllib
import typing

import msgspec

from pomeloward import model
from pomeloward import settings

# The environment variable that holds the path of the settings file.
SETTINGS_PATH_VARIABLE = "POMELOWARD_CONFIG"

_TomlTable = dict[str, typing.Any]


class _ListenTable(msgspec.Struct):
    """Addresses ``ip:port`` that the host listens on."""

    # Requests of callers.
    front: str
    # Readiness probes.
    ready: str
    # Traffic between hosts; seeds name these addresses.
    control: str
    # Address lookups of callers.
    directory: str


class _LimitsTable(msgspec.Struct, rename="kebab"):
    # The part of the cores that the process may use.
    cpu_share: float = 1.0
    cores: float = 1.0
    # File descriptors.
    max_fds: int = 1_024
    # Megabits per second.
    bandwidth_mbps: float = 1_000.0


class _PlatformTable(msgspec.Struct):
    # The ``ip:port`` of the platform's store.
    address: str


class _SettingsFile(msgspec.Struct, rename="kebab"):
    # The machine's name.
    node: str
    zone: str
    listen: _ListenTable
    platform: _PlatformTable
    # The region of each zone.
    zones: dict[str, str] = {}
    seeds: list[str] = []
    # True only at the first start of the whole fleet.
    bootstrap: bool = False
    # First and last of the ports that are free for traffic between hosts.
    port_range: list[int] = []
    # Texts ``name=value``.
    bounds: list[str] = []
    limits: _LimitsTable = msgspec.field(default_factory=_LimitsTable)


# Descriptors that the platform keeps for files, out of ``max_fds``.
_RESERVED_DESCRIPTORS = 200


class SettingsFile:
    """A settings file, parsed again only after a change of its content.

    Hosts poll the file, and parsing it takes as long as a request.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._content: bytes | None = None
        self._settings: settings.EdgeSettings | None = None

    def load(self) -> settings.EdgeSettings:
        """Return the settings in the file; raise as ``load_settings``."""
        try:
            content = self._path.read_bytes()
        except OSError:
            content = None
        if (
            self._settings is None
            or content is None
            or content != self._content
        ):
            self._settings = load_settings(self._path)
            self._content = content
        return self._settings


def load_settings(path: pathlib.Path) -> settings.EdgeSettings:
    """Return the settings in a file.

    Raises ``SettingsError``, whose message names the field.
    """
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
        parsed = msgspec.convert(document, _SettingsFile, strict=False)
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
        name=parsed.node,
        host=model.HostId(parsed.listen.control),
        zone=model.ZoneId(parsed.zone),
        zones=tuple(model.ZoneId(zone) for zone in sorted(parsed.zones)),
        callers=_parse_endpoint("listen.front", parsed.listen.front),
        ready=_parse_endpoint("listen.ready", parsed.listen.ready),
        peers=_parse_endpoint("listen.control", parsed.listen.control),
        directory=_parse_endpoint("listen.directory", parsed.listen.directory),
        store=_parse_endpoint("platform.address", parsed.platform.address),
        seeds=tuple(model.HostId(seed) for seed in parsed.seeds),
        is_first_start=parsed.bootstrap,
        cores=parsed.limits.cpu_share * parsed.limits.cores,
        link_mbps=parsed.limits.bandwidth_mbps,
        descriptors=max(1, parsed.limits.max_fds - _RESERVED_DESCRIPTORS),
        bounds=_parse_bounds(parsed.bounds),
        relay=_choose_relay_endpoint(parsed),
    )


def _choose_relay_endpoint(
    parsed: _SettingsFile,
) -> settings.Endpoint | None:
    """Return the first free port on the address for peers, None without."""
    if not parsed.port_range:
        return None
    peers = _parse_endpoint("listen.control", parsed.listen.control)
    return settings.Endpoint(peers.ip_address, parsed.port_range[0])


def _parse_endpoint(field: str, text: str) -> settings.Endpoint:
    """Return the endpoint in a text ``ip:port``; ``field`` is for errors."""
    ip_address, _, port = text.rpartition(":")
    if not ip_address or not port.isdigit():
        raise model.SettingsError(
            f"{field}: found {text!r}; allowed: an address ip:port"
        )
    return settings.Endpoint(ip_address, int(port))


def _parse_bounds(bounds: list[str]) -> settings.OperatorBounds:
    """Return the bounds in texts ``name=value``; ignores unknown names."""
    values = {}
    for bound in bounds:
        name, _, value = bound.partition("=")
        values[name] = value
    defaults = settings.OperatorBounds()

    def parse_number(name: str, default: float) -> float:
        text = values.get(name)
        if text is None:
            return default
        try:
            return float(text)
        except ValueError as error:
            raise model.SettingsError(
                f"bounds: found {name}={text!r}; allowed: a number"
            ) from error

    return settings.OperatorBounds(
        retry_ratio=parse_number("retry-budget-ratio", defaults.retry_ratio),
        retry_slack=parse_number("budget-slack", defaults.retry_slack),
        termination_grace_ms=parse_number(
            "grace-s", defaults.termination_grace_ms / 1_000
        )
        * 1_000,
        max_address_ttl_ms=parse_number(
            "ttl_max_s", defaults.max_address_ttl_ms / 1_000
        )
        * 1_000,
    )
