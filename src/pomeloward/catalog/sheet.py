"""Reads the planners' morning sheet, a CSV file."""

import collections.abc
import csv
import datetime
import io

from pomeloward import model
from pomeloward.catalog import kind
from pomeloward.catalog import sheetrow

COMMON_COLUMNS = ("kind", "action", "from", "until")
_KINDS = {each.value: each for each in kind.Kind}


def read_sheet(text: str, now_s: float) -> list[sheetrow.Row]:
    """Return the rows of a sheet; a ``from`` in the past means now.

    The separator is a semicolon if the header has one, and otherwise a comma.
    Empty lines and lines that begin with ``#`` are skipped. Raises
    ``SheetError`` with line and column.
    """
    header_line = text.partition("\n")[0]
    separator = ";" if ";" in header_line else ","
    reader = csv.reader(io.StringIO(text), delimiter=separator, strict=True)
    try:
        header = [cell.strip() for cell in next(reader, [])]
        _check_header(header)
        rows = []
        for cells in reader:
            line = reader.line_num
            stripped = [cell.strip() for cell in cells]
            if not any(stripped) or stripped[0].startswith("#"):
                continue
            rows.append(_row(line, header, stripped, now_s))
    except csv.Error as error:
        raise model.SheetError(
            f"line {reader.line_num}, column 1: {error}"
        ) from error
    return rows


def _check_header(header: list[str]) -> None:
    known = set(COMMON_COLUMNS)
    for of_kind in kind.Kind:
        known.update(sheetrow.columns_of(of_kind))
    for column in header:
        if column not in known:
            raise model.SheetError(
                f"line 1, column {column or '(empty)'}: unknown column; "
                f"known: {', '.join(sorted(known))}"
            )
        if header.count(column) > 1:
            raise model.SheetError(f"line 1, column {column}: given twice")
    if "kind" not in header:
        raise model.SheetError("line 1, column kind: missing")


def _row(
    line: int, header: list[str], cells: list[str], now_s: float
) -> sheetrow.Row:
    if len(cells) > len(header):
        raise model.SheetError(
            f"line {line}, column {len(header) + 1}: more cells than columns"
        )
    filled = {
        column: cell
        for column, cell in zip(header, cells, strict=False)
        if cell
    }
    of_kind = _KINDS.get(filled.pop("kind", ""))
    if of_kind is None:
        raise model.SheetError(
            f"line {line}, column kind: must be one of {', '.join(_KINDS)}"
        )
    action = filled.pop("action", "").lower()
    _check_action(line, of_kind, action)
    from_s = _time(line, "from", filled.pop("from", "")) or now_s
    until_s = _time(line, "until", filled.pop("until", ""))
    from_s = max(from_s, now_s)
    if until_s is not None and until_s <= from_s:
        raise model.SheetError(
            f"line {line}, column until: must be after the row begins"
        )
    allowed = sheetrow.columns_of(of_kind)
    for column in filled:
        if column not in allowed:
            raise model.SheetError(
                f"line {line}, column {column}: a {of_kind.value} has no "
                "such value"
            )
    return sheetrow.Row(line, of_kind, action, filled, from_s, until_s)


def _check_action(line: int, of_kind: kind.Kind, action: str) -> None:
    limits: collections.abc.Mapping[str, kind.Kind] = {
        "out": kind.Kind.ZONE,
        "back": kind.Kind.ZONE,
        "grant": kind.Kind.KEY,
        "withdraw": kind.Kind.KEY,
        "retire": kind.Kind.ROSTER,
    }
    if action not in sheetrow.ACTIONS:
        raise model.SheetError(
            f"line {line}, column action: must be one of "
            f"{', '.join(filter(None, sheetrow.ACTIONS))}"
        )
    if limits.get(action, of_kind) is not of_kind:
        raise model.SheetError(
            f"line {line}, column action: {action} is only for a "
            f"{limits[action].value}"
        )


def _time(line: int, column: str, text: str) -> float | None:
    if not text:
        return None
    try:
        found = datetime.datetime.fromisoformat(text)
    except ValueError as error:
        raise model.SheetError(
            f"line {line}, column {column}: {error}"
        ) from error
    if found.tzinfo is None:
        raise model.SheetError(
            f"line {line}, column {column}: {text!r} has no offset from UTC, "
            "for example Z"
        )
    return found.timestamp()
