"""Loads a whole configuration with little memory beside it."""

import collections.abc
import typing

from pomeloward import model
from pomeloward.catalog import codec
from pomeloward.catalog import draft
from pomeloward.catalog import kind
from pomeloward.catalog import recordrules
from pomeloward.catalog import records
from pomeloward.catalog import rejection
from pomeloward.catalog import relationrules
from pomeloward.catalog import state
from pomeloward.catalog import tablebuilder


def load(
    version: model.Version, found: collections.abc.Iterable[records.Record]
) -> state.State:
    """Return the state of a snapshot's records.

    Raises ``ConfigurationError`` when a record comes twice or a rule is
    broken. Rules between records are checked once all are packed.
    """
    builders = {
        of_kind: tablebuilder.TableBuilder(record_codec, _refuse_second)
        for of_kind, record_codec in state.CODECS.items()
    }
    groups = tablebuilder.TableBuilder(codec.GroupCodec(), _merge_groups)
    counts = tablebuilder.TableBuilder(codec.CountCodec(), _merge_counts)
    for record in found:
        rejection.reject(version, _record_reasons(record))
        builders[kind.kind_of(record)].add(record)
        for of_kind, name in kind.references_of(record):
            counts.add(codec.Count(f"{of_kind.value}/{name}", 1))
        for group in state.groups_of(record):
            groups.add(codec.Group(group, (kind.name_of(record),)))
    loaded = state.State(
        tables={
            of_kind: builder.build() for of_kind, builder in builders.items()
        },
        groups=groups.build(),
        counts=counts.build(),
    )
    rejection.reject(
        version,
        relationrules.broken_rules(
            loaded, _steps(loaded), _references(loaded)
        ),
    )
    return loaded


def _refuse_second(
    first: records.Record, second: records.Record
) -> typing.NoReturn:
    raise model.ConfigurationError(
        f"{kind.kind_of(second).value} {kind.name_of(second)}: named twice"
    )


def _merge_groups(first: codec.Group, second: codec.Group) -> codec.Group:
    members = {*first.members, *second.members}
    return codec.Group(first.name, tuple(sorted(members)))


def _merge_counts(first: codec.Count, second: codec.Count) -> codec.Count:
    return codec.Count(first.name, first.count + second.count)


def _record_reasons(
    record: records.Record,
) -> collections.abc.Iterator[str]:
    for reason in recordrules.broken_rules(record):
        place = f"{kind.kind_of(record).value} {kind.name_of(record)}"
        yield f"{place}: {reason}"


def _steps(loaded: state.State) -> collections.abc.Iterator[draft.Step]:
    for of_kind, records_of_kind in loaded.tables.items():
        # Teams and keys have no rules between records but references.
        if of_kind in (kind.Kind.TEAM, kind.Kind.KEY):
            continue
        for record in records_of_kind.values():
            yield draft.Step(of_kind, kind.name_of(record), None, record)


def _references(
    loaded: state.State,
) -> collections.abc.Iterator[tuple[kind.Kind, str]]:
    for count in loaded.counts.values():
        value, _, name = count.name.partition("/")
        yield kind.Kind(value), name
