"""Reads and checks a settings file."""

import pathlib
import re
import tomllib
import typing

import msgspec

from pomeloward import model
from pomeloward.settings import hostsettings

_PATH = re.compile(r" - at `\$\.?([^`]*)`$")
_SECRETS = frozenset({"fleet_secret"})


def load(path: pathlib.Path) -> hostsettings.Settings:
    """Read the settings of a host.

    Raises ``SettingsError`` with one line that names the field, what was
    found there, and what is allowed.
    """
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise model.SettingsError(
            f"settings file {path}: cannot be read: {error.strerror}"
        ) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise model.SettingsError(
            f"settings file {path}: not valid TOML: {error}"
        ) from error
    return parse_document(document)


def parse_document(document: dict[str, typing.Any]) -> hostsettings.Settings:
    """Check a parsed settings document; raises ``SettingsError``."""
    _refuse_unknown(document, hostsettings.Settings, "")
    try:
        parsed = msgspec.convert(document, hostsettings.Settings, strict=True)
    except msgspec.ValidationError as error:
        raise model.SettingsError(_explain(document, str(error))) from error
    _check_together(parsed)
    return parsed


def _refuse_unknown(
    table: dict[str, typing.Any], struct: type[msgspec.Struct], prefix: str
) -> None:
    fields = {
        field.name: field.type for field in msgspec.structs.fields(struct)
    }
    for name, value in table.items():
        if name not in fields:
            raise model.SettingsError(
                f"{prefix}{name}: unknown setting; allowed: "
                + ", ".join(sorted(fields))
            )
        inner = fields[name]
        if isinstance(value, dict) and isinstance(inner, type):
            _refuse_unknown(value, inner, f"{prefix}{name}.")


def _explain(document: dict[str, typing.Any], message: str) -> str:
    match = _PATH.search(message)
    field = match.group(1) if match else ""
    allowed = message[: match.start()] if match else message
    if "missing required field" in allowed:
        name = allowed.rsplit("`", 2)[1]
        field = f"{field}.{name}" if field else name
        return f"{field}: found nothing; allowed: a value is required"
    found = _found(document, field)
    allowed = re.sub(r", got `[^`]*`$", "", allowed)
    return f"{field}: found {found}; allowed: {allowed}"


def _found(document: typing.Any, field: str) -> str:
    """Render the value of a field; secrets are only named by type."""
    value = document
    for part in re.findall(r"[^.\[\]]+", field):
        try:
            value = value[int(part)] if part.isdigit() else value[part]
        except (KeyError, IndexError, TypeError):
            return "an unexpected value"
    if field in _SECRETS:
        return f"a {type(value).__name__}"
    return repr(value)


def _check_together(parsed: hostsettings.Settings) -> None:
    if bool(parsed.configuration_file) == bool(parsed.platform_url):
        raise model.SettingsError(
            f"platform_url: found {parsed.platform_url!r} with "
            f"configuration_file {parsed.configuration_file!r}; allowed: "
            "exactly one of the two"
        )
    if parsed.platform_url and len(parsed.fleet_secret) < 16:
        raise model.SettingsError(
            "fleet_secret: found a shorter string; allowed: 16 characters "
            "or more in a fleet"
        )
