"""The tables of one configuration."""

import collections.abc
import dataclasses

from pomeloward.catalog import codec
from pomeloward.catalog import kind
from pomeloward.catalog import records
from pomeloward.catalog import table


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """Records by kind, with the indexes that look-ups and rules need.

    ``groups`` lists the members of a service, region or path prefix;
    ``counts`` has the number of records that refer to a record.
    """

    tables: collections.abc.Mapping[kind.Kind, table.Table[records.Record]]
    groups: table.Table[codec.Group]
    counts: table.Table[codec.Count]

    def memory_bytes(self) -> int:
        """Return the memory of all tables."""
        return (
            sum(table.memory_bytes() for table in self.tables.values())
            + self.groups.memory_bytes()
            + self.counts.memory_bytes()
        )

    def members(self, group: str) -> tuple[str, ...]:
        """Return the members of a group, which is empty when absent."""
        found = self.groups.get(group)
        return found.members if found else ()

    def get(self, of_kind: kind.Kind, name: str) -> records.Record | None:
        """Return a record."""
        return self.tables[of_kind].get(name)

    def group(
        self, of_kind: kind.Kind, owner: str
    ) -> collections.abc.Iterator[records.Record]:
        """Iterate over the records of a kind that belong to an owner."""
        for name in self.members(f"{of_kind.value}/{owner}"):
            record = self.get(of_kind, name)
            if record is not None:
                yield record


CODECS = {
    of_kind: codec.RecordCodec(record_type)
    for record_type, of_kind in kind.KIND_OF_TYPE.items()
}


def empty_state() -> State:
    """Return a state without records."""
    return State(
        tables={
            of_kind: table.Table(record_codec)
            for of_kind, record_codec in CODECS.items()
        },
        groups=table.Table(codec.GroupCodec()),
        counts=table.Table(codec.CountCodec()),
    )


def groups_of(record: records.Record) -> list[str]:
    """Return the groups that a record belongs to."""
    match record:
        case records.Target() | records.SiteShare():
            return [f"{kind.kind_of(record).value}/{record.service}"]
        case records.Roster():
            return [f"{kind.Kind.ROSTER.value}/{record.region}"]
        case records.Route():
            return [
                route_group(method, record.path_prefix)
                for method in record.methods
            ]
    return []


def route_group(method: str, prefix: str) -> str:
    """Return the group of the route with a method and path prefix."""
    return f"route/{method} {prefix}"
