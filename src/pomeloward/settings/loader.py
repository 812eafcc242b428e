"""Reads and validates the settings file of the ``pomeloward-host`` command."""

import pathlib
import re
import tomllib
import typing

import msgspec

from pomeloward import model
from pomeloward.settings import hostsettings

_FIELD_PATH_PATTERN = re.compile(r" - at `\$\.?([^`]*)`$")
_SECRET_FIELDS = frozenset({"fleet_secret"})


def load(path: pathlib.Path) -> hostsettings.Settings:
    """Return the settings in a TOML file.

    Raises ``SettingsError`` with a one-line message that names the field, the
    value found and the values allowed.
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
    """Return the settings in a TOML document.

    Raises ``SettingsError`` if the document is not valid.
    """
    _reject_unknown_fields(document, hostsettings.Settings, "")
    try:
        host_settings = msgspec.convert(
            document, hostsettings.Settings, strict=True
        )
    except msgspec.ValidationError as error:
        raise model.SettingsError(
            _describe_error(document, str(error))
        ) from error
    _check_field_combinations(host_settings)
    return host_settings


def _reject_unknown_fields(
    table: dict[str, typing.Any],
    struct_type: type[msgspec.Struct],
    path_prefix: str,
) -> None:
    field_types = {
        field.name: field.type for field in msgspec.structs.fields(struct_type)
    }
    for name, value in table.items():
        if name not in field_types:
            raise model.SettingsError(
                f"{path_prefix}{name}: unknown setting; allowed: "
                + ", ".join(sorted(field_types))
            )
        field_type = field_types[name]
        if isinstance(value, dict) and isinstance(field_type, type):
            _reject_unknown_fields(value, field_type, f"{path_prefix}{name}.")


def _describe_error(
    document: dict[str, typing.Any], validation_message: str
) -> str:
    path_match = _FIELD_PATH_PATTERN.search(validation_message)
    field_path = path_match.group(1) if path_match else ""
    allowed = (
        validation_message[: path_match.start()]
        if path_match
        else validation_message
    )
    if "missing required field" in allowed:
        name = allowed.rsplit("`", 2)[1]
        field_path = f"{field_path}.{name}" if field_path else name
        return f"{field_path}: found nothing; allowed: a value is required"
    found_text = _describe_value(document, field_path)
    allowed = re.sub(r", got `[^`]*`$", "", allowed)
    return f"{field_path}: found {found_text}; allowed: {allowed}"


def _describe_value(document: typing.Any, field_path: str) -> str:
    """Return the value of a field as text, or only the type of a secret."""
    value = document
    for key in re.findall(r"[^.\[\]]+", field_path):
        try:
            value = value[int(key)] if key.isdigit() else value[key]
        except (KeyError, IndexError, TypeError):
            return "an unexpected value"
    if field_path in _SECRET_FIELDS:
        return f"a {type(value).__name__}"
    return repr(value)


def _check_field_combinations(host_settings: hostsettings.Settings) -> None:
    if bool(host_settings.configuration_file) == bool(
        host_settings.platform_url
    ):
        raise model.SettingsError(
            f"platform_url: found {host_settings.platform_url!r} with "
            f"configuration_file {host_settings.configuration_file!r}; "
            "allowed: exactly one of the two"
        )
    if host_settings.platform_url and len(host_settings.fleet_secret) < 16:
        raise model.SettingsError(
            "fleet_secret: found a shorter string; allowed: 16 characters "
            "or more in a fleet"
        )
