"""One row of the planners' morning sheet."""

import dataclasses
import typing

import msgspec

from pomeloward import model
from pomeloward.catalog import kind
from pomeloward.catalog import records

# Words for what a row does; the second part is the field that it sets.
ACTIONS: dict[str, tuple[str, bool | None]] = {
    "": ("put", None),
    "put": ("put", None),
    "grant": ("put", None),
    "delete": ("delete", None),
    "withdraw": ("delete", None),
    "retire": ("delete", None),
    "out": ("put", True),
    "back": ("put", False),
}
_TYPES = {
    of_kind: record_type for record_type, of_kind in kind.KIND_OF_TYPE.items()
}


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row with its line in the file; times are seconds of the epoch."""

    line: int
    of_kind: kind.Kind
    action: str
    cells: dict[str, str]
    from_s: float
    until_s: float | None

    @property
    def is_deletion(self) -> bool:
        """Whether the row removes its record."""
        return ACTIONS[self.action][0] == "delete"

    def error(self, column: str, reason: str) -> model.SheetError:
        """Return an error that names the line and column."""
        return model.SheetError(f"line {self.line}, column {column}: {reason}")

    def name(self) -> str:
        """Return the identity of the row's record."""
        match self.of_kind:
            case kind.Kind.KEY:
                return self._cell("digest").lower()
            case kind.Kind.ROSTER:
                return f"{self._cell('region')}/{self._cell('number')}"
            case kind.Kind.SHARE:
                return f"{self._cell('service')}/{self._cell('site')}"
        return self._cell("id")

    def record(self, old: records.Record | None) -> records.Record:
        """Return the record that the row puts.

        Empty cells keep what the record has, or take the default of a new
        one. Raises ``SheetError``.
        """
        values = msgspec.structs.asdict(old) if old is not None else {}
        fields = msgspec.structs.fields(_TYPES[self.of_kind])
        for field in fields:
            text = self.cells.get(field.name, "")
            if text:
                values[field.name] = self._value(field, text)
            elif field.required and field.name not in values:
                raise self.error(field.name, "a new record needs a value")
        is_out = ACTIONS[self.action][1]
        if is_out is not None:
            values["is_out"] = is_out
        build = typing.cast("type[records.Zone]", _TYPES[self.of_kind])
        return build(**values)

    def _cell(self, column: str) -> str:
        text = self.cells.get(column, "")
        if not text:
            raise self.error(column, f"a {self.of_kind.value} needs a value")
        return text

    def _value(
        self, field: msgspec.structs.FieldInfo, text: str
    ) -> typing.Any:
        try:
            if field.type is bytes:
                return bytes.fromhex(text)
            if typing.get_origin(field.type) is tuple:
                return msgspec.convert(text.split(), field.type)
            return msgspec.convert(text, field.type, strict=False)
        except (msgspec.ValidationError, ValueError) as error:
            raise self.error(field.name, f"{text!r}: {error}") from error


def columns_of(of_kind: kind.Kind) -> tuple[str, ...]:
    """Return the columns that a kind uses beside the common ones."""
    fields = msgspec.structs.fields(_TYPES[of_kind])
    return tuple(field.name for field in fields)
