"""The reference of all settings, made from their own types."""

import inspect
import typing

import msgspec

from pomeloward.settings import hostsettings

_HEADER = [
    "| setting | type | default | allowed |",
    "| --- | --- | --- | --- |",
]
_BOUNDS = (
    ("minimum", "at least {}"),
    ("exclusiveMinimum", "more than {}"),
    ("maximum", "at most {}"),
    ("minLength", "{} or more characters"),
    ("maxLength", "at most {} characters"),
)

_Schema = dict[str, typing.Any]


def render_reference() -> str:
    """Return the reference as Markdown, a section for each table."""
    schema = msgspec.json.schema(hostsettings.Settings)
    parts = ["# Settings reference", "", _intro()]
    for field in msgspec.structs.fields(hostsettings.Settings):
        parts += _section_of(field, schema)
    head = _table(hostsettings.Settings, schema["$defs"]["Settings"])
    parts[3:3] = [*head, ""]
    return "\n".join(parts).rstrip() + "\n"


def _intro() -> str:
    return (
        "Made by `pomeloward-plan reference` from the types that check a "
        "settings file.\nA setting without a default is required. "
        "Unknown settings are refused.\n"
    )


def _section_of(
    field: msgspec.structs.FieldInfo, schema: _Schema
) -> list[str]:
    struct = field.type
    heading = f"## `[{field.encode_name}]`"
    if typing.get_origin(struct) is tuple:
        struct = typing.get_args(struct)[0]
        heading = f"## `[[{field.encode_name}]]`"
    if not (inspect.isclass(struct) and issubclass(struct, msgspec.Struct)):
        return []
    section = schema["$defs"][struct.__name__]
    text = inspect.cleandoc(struct.__doc__ or "").replace("``", "`")
    return [heading, "", text, "", *_table(struct, section), ""]


def _table(struct: type[msgspec.Struct], section: _Schema) -> list[str]:
    rows = list(_HEADER)
    for field in msgspec.structs.fields(struct):
        found = section["properties"][field.encode_name]
        if "type" not in found or found["type"] == "array":
            continue
        name = field.encode_name
        rows.append(
            f"| `{name}` | {found['type']} | {_default(found)} "
            f"| {_allowed(found)} |"
        )
    return rows


def _default(found: _Schema) -> str:
    if "default" not in found:
        return "required"
    return f"`{msgspec.json.encode(found['default']).decode()}`"


def _allowed(found: _Schema) -> str:
    bounds = [
        text.format(found[name]) for name, text in _BOUNDS if name in found
    ]
    return ", ".join(bounds)
