"""The accepted configuration of one version."""

import collections.abc
import typing

from pomeloward import model
from pomeloward.catalog import change
from pomeloward.catalog import draft
from pomeloward.catalog import kind
from pomeloward.catalog import loader
from pomeloward.catalog import recordrules
from pomeloward.catalog import records
from pomeloward.catalog import rejection
from pomeloward.catalog import relationrules
from pomeloward.catalog import state

_R = typing.TypeVar("_R", bound=records.Record)


class Configuration:
    """An immutable configuration that implements ``View``.

    Records are packed into shards, which a version shares with its
    predecessor where nothing changed. A look-up decodes the record it
    returns; callers that need one often may keep it for the version.

    Example::

        configuration = Configuration.empty().applied(change)
        configuration.team_of_key(digest)
    """

    __slots__ = ("_state", "_version")

    def __init__(self, version: model.Version, tables: state.State) -> None:
        self._version = version
        self._state = tables

    @classmethod
    def empty(cls) -> "Configuration":
        """Return the configuration before the first version."""
        return cls(model.Version(0), state.empty_state())

    @classmethod
    def of_records(
        cls,
        version: model.Version,
        found: collections.abc.Iterable[records.Record],
    ) -> "Configuration":
        """Return the configuration of a snapshot.

        Raises ``ConfigurationError`` when the records break a rule.
        """
        return cls(version, loader.load(version, found))

    @property
    def version(self) -> model.Version:
        """The version of this configuration."""
        return self._version

    def applied(self, changed: change.Change) -> "Configuration":
        """Return the next configuration, or reject the change as a whole.

        Raises ``StaleConfigurationError`` for a version that is not above
        this one, and ``ConfigurationError`` with the reasons for a change
        that has another base or breaks a rule.
        """
        if changed.version <= self._version:
            raise model.StaleConfigurationError(
                f"change {changed.version} is not above version "
                f"{self._version}, which is in force"
            )
        if changed.base != self._version:
            raise model.ConfigurationError(
                f"change {changed.version} is made against version "
                f"{changed.base}, but {self._version} is in force"
            )
        steps = draft.steps_of(self._state, changed)
        drafted = draft.Draft(self._state, steps)
        rejection.reject(
            changed.version, rejection.step_reasons(self._state, steps)
        )
        new = drafted.build()
        rejection.reject(
            changed.version,
            relationrules.broken_rules(new, steps, drafted.added_references()),
        )
        return Configuration(changed.version, new)

    def record(self, of_kind: kind.Kind, name: str) -> records.Record | None:
        """Return a record by kind and identity."""
        return self._state.get(of_kind, name)

    def records_of(
        self, of_kind: kind.Kind
    ) -> collections.abc.Iterator[records.Record]:
        """Iterate over all records of a kind."""
        return self._state.tables[of_kind].values()

    def count(self, of_kind: kind.Kind) -> int:
        """Return the number of records of a kind."""
        return len(self._state.tables[of_kind])

    def payloads(
        self, of_kind: kind.Kind, first: int, end: int
    ) -> collections.abc.Iterator[bytes]:
        """Iterate over the packed records of a range of shards."""
        return self._state.tables[of_kind].payloads(first, end)

    def has_same(self, of_kind: kind.Kind, other: "Configuration") -> bool:
        """Tell whether no record of a kind was touched between versions."""
        return self._state.tables[of_kind] is other._state.tables[of_kind]

    def contents(self) -> collections.abc.Iterator[records.Record]:
        """Iterate over all records, referred ones before referring ones."""
        for of_kind in kind.Kind:
            yield from self.records_of(of_kind)

    def memory_bytes(self) -> int:
        """Return the memory of all tables with their indexes."""
        return self._state.memory_bytes()

    def payload_bytes(self) -> int:
        """Return the size of all packed records together."""
        return sum(
            table.payload_bytes() for table in self._state.tables.values()
        )

    def team(self, team: model.TeamId) -> records.Team | None:
        """Return a team."""
        return self._get(records.Team, team)

    def team_of_key(self, digest: bytes) -> model.TeamId | None:
        """Return the team of a granted key by its SHA-256 digest."""
        key = self._get(records.Key, digest.hex())
        return key.team if key else None

    def route(self, route: model.RouteId) -> records.Route | None:
        """Return a route by its id."""
        return self._get(records.Route, route)

    def route_for(self, method: str, path: str) -> records.Route | None:
        """Return the route with the longest matching path prefix.

        A prefix matches whole segments. Paths with empty or dot segments
        match nothing, because a target may resolve them to another route.
        """
        segments = path.split("/")
        if segments[0] or len(segments) < 2:
            return None
        inner = segments[1:-1] if not segments[-1] else segments[1:]
        if any(segment in ("", ".", "..") for segment in inner):
            return None
        deepest = min(len(inner), recordrules.MAX_PREFIX_SEGMENTS)
        for depth in range(deepest, -1, -1):
            prefix = "/" + "/".join(inner[:depth])
            group = state.route_group(method, prefix)
            for name in self._state.members(group):
                return self._get(records.Route, name)
        return None

    def service(self, service: model.ServiceId) -> records.Service | None:
        """Return a service."""
        return self._get(records.Service, service)

    def services(self) -> collections.abc.Iterator[records.Service]:
        """Iterate over all services."""
        return self._all(records.Service)

    def targets(
        self, service: model.ServiceId
    ) -> collections.abc.Sequence[records.Target]:
        """Return all targets of a service, leaving ones included."""
        return self._group(records.Target, service)

    def shares(
        self, service: model.ServiceId
    ) -> collections.abc.Mapping[model.SiteId, float]:
        """Return the share of traffic of each site; empty means equal."""
        shares = self._group(records.SiteShare, service)
        return {share.site: share.share_ratio for share in shares}

    def host(self, host: model.HostId) -> records.Host | None:
        """Return an entry host."""
        return self._get(records.Host, host)

    def hosts(self) -> collections.abc.Iterator[records.Host]:
        """Iterate over all entry hosts."""
        return self._all(records.Host)

    def zone(self, zone: model.ZoneId) -> records.Zone | None:
        """Return an availability zone."""
        return self._get(records.Zone, zone)

    def zones(self) -> collections.abc.Iterator[records.Zone]:
        """Iterate over all availability zones."""
        return self._all(records.Zone)

    def region(self, region: model.RegionId) -> records.Region | None:
        """Return a region."""
        return self._get(records.Region, region)

    def regions(self) -> collections.abc.Iterator[records.Region]:
        """Iterate over all regions."""
        return self._all(records.Region)

    def rosters(
        self, region: model.RegionId
    ) -> collections.abc.Sequence[records.Roster]:
        """Return the rosters in circulation, oldest first, at most 3."""
        rosters = self._group(records.Roster, region)
        return sorted(rosters, key=lambda roster: roster.number)

    def _get(self, of_type: type[_R], name: str) -> _R | None:
        found = self._state.get(kind.KIND_OF_TYPE[of_type], name)
        return typing.cast("_R | None", found)

    def _all(self, of_type: type[_R]) -> collections.abc.Iterator[_R]:
        found = self.records_of(kind.KIND_OF_TYPE[of_type])
        return typing.cast("collections.abc.Iterator[_R]", found)

    def _group(self, of_type: type[_R], owner: str) -> list[_R]:
        found = self._state.group(kind.KIND_OF_TYPE[of_type], owner)
        return typing.cast("list[_R]", list(found))
