"""Describes the difference between configurations for a person."""

import collections.abc
import enum
import typing

import msgspec

from pomeloward.catalog import configuration
from pomeloward.catalog import kind
from pomeloward.catalog import records


def describe(
    of_kind: kind.Kind,
    name: str,
    old: records.Record | None,
    new: records.Record | None,
) -> str:
    """Return one line for a record before and after.

    Example::

        ~ team crew: rate_per_s 10.0 -> 12.0
    """
    place = f"{of_kind.value} {name}"
    if old is None and new is not None:
        values = msgspec.structs.asdict(new).items()
        shown = " ".join(f"{key}={_show(value)}" for key, value in values)
        return f"+ {place}: {shown}"
    if new is None or old is None:
        return f"- {place}"
    before = msgspec.structs.asdict(old)
    after = msgspec.structs.asdict(new)
    changes = [
        f"{key} {_show(before[key])} -> {_show(after[key])}"
        for key in after
        if before[key] != after[key]
    ]
    return f"~ {place}: {', '.join(changes) or 'unchanged'}"


def differences_between(
    old: configuration.Configuration, new: configuration.Configuration
) -> collections.abc.Iterator[str]:
    """Yield a line for each record that differs."""
    for of_kind in kind.Kind:
        before = {kind.name_of(each): each for each in old.records_of(of_kind)}
        after = {kind.name_of(each): each for each in new.records_of(of_kind)}
        for name in sorted(before.keys() | after.keys()):
            if before.get(name) != after.get(name):
                yield describe(
                    of_kind, name, before.get(name), after.get(name)
                )


def _show(value: typing.Any) -> str:
    if isinstance(value, bytes):
        return value.hex()
    if isinstance(value, enum.Enum):
        return str(value.value)
    if isinstance(value, tuple):
        return "[" + " ".join(map(str, value)) + "]"
    return str(value)
