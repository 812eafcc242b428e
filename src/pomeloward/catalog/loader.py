"""Loads a whole configuration with little memory beside it."""

import collections.abc
import itertools

from pomeloward import model
from pomeloward.catalog import draft
from pomeloward.catalog import kind
from pomeloward.catalog import recordrules
from pomeloward.catalog import records
from pomeloward.catalog import rejection
from pomeloward.catalog import relationrules
from pomeloward.catalog import state

# Bounds the unpacked records in memory to a few megabytes.
BATCH_RECORDS = 4_096


def load(
    version: model.Version, found: collections.abc.Iterable[records.Record]
) -> state.State:
    """Return the state of a snapshot's records.

    Raises ``ConfigurationError`` when a record comes twice or a rule is
    broken. Rules between records are checked after the last batch.
    """
    loaded = state.empty_state()
    remaining = iter(found)
    while batch := list(itertools.islice(remaining, BATCH_RECORDS)):
        rejection.reject(version, _record_reasons(batch))
        steps = [
            draft.Step(
                kind.kind_of(record), kind.name_of(record), None, record
            )
            for record in batch
        ]
        rejection.reject(version, _repeated(loaded, steps))
        loaded = draft.Draft(loaded, steps).build()
    rejection.reject(
        version,
        relationrules.broken_rules(
            loaded, _steps(loaded), _references(loaded)
        ),
    )
    return loaded


def _record_reasons(
    batch: list[records.Record],
) -> collections.abc.Iterator[str]:
    for record in batch:
        for reason in recordrules.broken_rules(record):
            yield (
                f"{kind.kind_of(record).value} {kind.name_of(record)}: "
                f"{reason}"
            )


def _repeated(
    loaded: state.State, steps: list[draft.Step]
) -> collections.abc.Iterator[str]:
    seen: set[tuple[kind.Kind, str]] = set()
    for step in steps:
        place = (step.of_kind, step.name)
        if place in seen or loaded.get(*place) is not None:
            yield f"{step.of_kind.value} {step.name}: named twice"
        seen.add(place)


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
