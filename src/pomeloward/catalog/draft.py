"""The difference that a change makes to a state."""

import collections
import collections.abc
import typing

from pomeloward import model
from pomeloward.catalog import change
from pomeloward.catalog import codec
from pomeloward.catalog import kind
from pomeloward.catalog import records
from pomeloward.catalog import state


class Step(typing.NamedTuple):
    """One record before and after a change; None where it is absent."""

    of_kind: kind.Kind
    name: str
    old: records.Record | None
    new: records.Record | None


def steps_of(base: state.State, changed: change.Change) -> list[Step]:
    """Return the steps of a change against its base.

    Raises ``ConfigurationError`` when a record is named twice or a deleted
    one does not exist.
    """
    steps: dict[tuple[kind.Kind, str], Step] = {}
    for deletion in changed.delete:
        old = base.get(deletion.kind, deletion.id)
        if old is None:
            raise model.ConfigurationError(
                f"{deletion.kind.value} {deletion.id}: deleted but not known"
            )
        _add(steps, Step(deletion.kind, deletion.id, old, None))
    for record in changed.put:
        of_kind, name = kind.kind_of(record), kind.name_of(record)
        _add(steps, Step(of_kind, name, base.get(of_kind, name), record))
    return list(steps.values())


def _add(steps: dict[tuple[kind.Kind, str], Step], step: Step) -> None:
    place = (step.of_kind, step.name)
    if place in steps:
        raise model.ConfigurationError(
            f"{step.of_kind.value} {step.name}: named twice in one change"
        )
    steps[place] = step


class Draft:
    """Builds the state that follows from a list of steps."""

    def __init__(self, base: state.State, steps: list[Step]) -> None:
        self._base = base
        self._steps = steps
        self._references: collections.Counter[tuple[kind.Kind, str]] = (
            collections.Counter()
        )
        self._left: dict[str, set[str]] = collections.defaultdict(set)
        self._joined: dict[str, set[str]] = collections.defaultdict(set)
        for step in steps:
            self._trace(step)

    def added_references(
        self,
    ) -> collections.abc.Iterator[tuple[kind.Kind, str]]:
        """Iterate over the records that more records now refer to."""
        for reference, difference in self._references.items():
            if difference > 0:
                yield reference

    def build(self) -> state.State:
        """Return the new state; it shares unchanged shards with the base."""
        return state.State(
            tables=self._tables(),
            groups=self._groups(),
            counts=self._counts(),
        )

    def _trace(self, step: Step) -> None:
        if step.old is not None:
            for reference in kind.references_of(step.old):
                self._references[reference] -= 1
            for group in state.groups_of(step.old):
                self._left[group].add(step.name)
        if step.new is not None:
            for reference in kind.references_of(step.new):
                self._references[reference] += 1
            for group in state.groups_of(step.new):
                self._joined[group].add(step.name)

    def _tables(
        self,
    ) -> dict[kind.Kind, typing.Any]:
        put: dict[kind.Kind, list[records.Record]] = {}
        delete: dict[kind.Kind, list[str]] = {}
        for step in self._steps:
            if step.new is not None:
                put.setdefault(step.of_kind, []).append(step.new)
            else:
                delete.setdefault(step.of_kind, []).append(step.name)
        return {
            of_kind: old.updated(put.get(of_kind, ()), delete.get(of_kind, ()))
            for of_kind, old in self._base.tables.items()
        }

    def _groups(self) -> typing.Any:
        put, delete = [], []
        for name in self._left.keys() | self._joined.keys():
            members = set(self._base.members(name))
            members -= self._left.get(name, set())
            members |= self._joined.get(name, set())
            if members:
                put.append(codec.Group(name, tuple(sorted(members))))
            else:
                delete.append(name)
        return self._base.groups.updated(put, delete)

    def _counts(self) -> typing.Any:
        put, delete = [], []
        for (of_kind, name), difference in self._references.items():
            if not difference:
                continue
            place = f"{of_kind.value}/{name}"
            old = self._base.counts.get(place)
            count = (old.count if old else 0) + difference
            if count:
                put.append(codec.Count(place, count))
            else:
                delete.append(place)
        return self._base.counts.updated(put, delete)
