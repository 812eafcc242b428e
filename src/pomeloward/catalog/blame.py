"""Finds the line and column behind a broken rule."""

import collections.abc

from pomeloward import model
from pomeloward.catalog import kind
from pomeloward.catalog import recordrules
from pomeloward.catalog import records
from pomeloward.catalog import sheetrow

Written = collections.abc.Mapping[
    tuple[kind.Kind, str], tuple[sheetrow.Row, records.Record | None]
]


def record_error(
    row: sheetrow.Row, record: records.Record
) -> model.SheetError | None:
    """Return the first rule that a row's record breaks by itself."""
    for reason in recordrules.broken_rules(record):
        column = reason.split()[0]
        if column not in sheetrow.columns_of(row.of_kind):
            column = "methods" if column == "method" else "kind"
        return row.error(column, reason)
    return None


def change_error(
    error: model.ConfigurationError, written: Written
) -> model.SheetError:
    """Return the sheet's error for a rejected change of one instant."""
    reason = str(error).partition("rejected: ")[2] or str(error)
    place = reason.partition(": ")[0]
    for row, record in written.values():
        column = _column(place, row, record)
        if column:
            return row.error(column, reason)
    row = next(iter(written.values()))[0]
    return row.error("kind", reason)


def _column(
    place: str, row: sheetrow.Row, record: records.Record | None
) -> str:
    """Return the column of a row that a reason's place points to."""
    if place == f"{row.of_kind.value} {row.name()}":
        return "path_prefix" if row.of_kind is kind.Kind.ROUTE else "action"
    if record is None:
        return ""
    columns = sheetrow.columns_of(row.of_kind)
    for of_kind, name in kind.references_of(record):
        if place != f"{of_kind.value} {name}":
            continue
        if isinstance(record, records.SiteShare):
            return "share_ratio"
        if of_kind.value in columns:
            return of_kind.value
        return f"{of_kind.value}s"
    return ""
