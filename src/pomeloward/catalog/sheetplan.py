"""Turns the rows of a morning sheet into changes in time order."""

import dataclasses
import datetime

from pomeloward import model
from pomeloward import origin
from pomeloward.catalog import blame
from pomeloward.catalog import change
from pomeloward.catalog import configuration
from pomeloward.catalog import difference
from pomeloward.catalog import kind
from pomeloward.catalog import records
from pomeloward.catalog import sheetrow

# A host that missed the successor for this long has lost its standing and
# every lease; only then may the older majority be given up.
ROSTER_OVERLAP_S = 600.0

_Place = tuple[kind.Kind, str]


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedChange:
    """A change and when to publish it, in seconds of the epoch."""

    at_s: float
    change: change.Change
    differences: tuple[str, ...]


class SheetPlan:
    """Builds the changes against the configuration in force.

    A row with ``until`` brings back what the record was before it. Raises
    ``SheetError`` when any row breaks a rule; no change is returned then.
    """

    def __init__(
        self,
        in_force: configuration.Configuration,
        rows: list[sheetrow.Row],
        now_s: float,
    ) -> None:
        self._running = in_force
        self._rows = rows
        self._now_s = now_s
        self._before: dict[int, records.Record | None] = {}
        self._roster_since_s: dict[str, float] = {}

    def changes(self) -> list[PlannedChange]:
        """Return all changes in time order."""
        self._check_overlaps()
        starts = {row.from_s for row in self._rows}
        ends = {row.until_s for row in self._rows if row.until_s is not None}
        planned = []
        for at_s in sorted(starts | ends):
            written = self._written(at_s)
            if written:
                planned.append(self._publish(at_s, written))
        return planned

    def _check_overlaps(self) -> None:
        """Refuse two rows for a record where one would undo the other."""
        seen: dict[_Place, list[sheetrow.Row]] = {}
        for row in sorted(self._rows, key=lambda each: each.from_s):
            earlier = seen.setdefault((row.of_kind, row.name()), [])
            for other in earlier:
                same_start = other.from_s == row.from_s
                if same_start or row.from_s < (other.until_s or 0):
                    raise row.error("from", f"overlaps line {other.line}")
            earlier.append(row)

    def _written(
        self, at_s: float
    ) -> dict[_Place, tuple[sheetrow.Row, records.Record | None]]:
        """Return the record, or None, of each place that changes now."""
        found: dict[_Place, tuple[sheetrow.Row, records.Record | None]] = {}
        for row in self._rows:
            if row.until_s == at_s:
                before = self._before[row.line]
                found[row.of_kind, row.name()] = (row, before)
        for row in self._rows:
            if row.from_s == at_s:
                place = (row.of_kind, row.name())
                old = (
                    found[place][1]
                    if place in found
                    else self._running.record(*place)
                )
                self._before[row.line] = old
                found[place] = (row, self._started(row, old, at_s))
        return {
            place: (row, record)
            for place, (row, record) in found.items()
            if record != self._running.record(*place)
        }

    def _started(
        self, row: sheetrow.Row, old: records.Record | None, at_s: float
    ) -> records.Record | None:
        if row.is_deletion:
            if old is None:
                raise row.error("action", f"{row.name()} does not exist")
            if isinstance(old, records.Roster):
                self._check_retirement(row, old, at_s)
            return None
        record = self._with_zones(row.record(old))
        if isinstance(record, records.Roster):
            self._roster_since_s[kind.name_of(record)] = at_s
        error = blame.record_error(row, record)
        if error is not None:
            raise error
        return record

    def _with_zones(self, record: records.Record) -> records.Record:
        """Fill in the zones of a roster's hosts."""
        if not isinstance(record, records.Roster) or record.zones:
            return record
        hosts = [self._running.host(name) for name in record.hosts]
        zones = tuple(host.zone for host in hosts if host is not None)
        if len(zones) != len(hosts):
            return record
        return records.Roster(
            record.region, record.number, record.hosts, zones
        )

    def _check_retirement(
        self, row: sheetrow.Row, old: records.Roster, at_s: float
    ) -> None:
        successors = [
            kind.name_of(each)
            for each in self._running.rosters(old.region)
            if each.number > old.number
        ]
        # When a roster in force was published is not recorded; it has been
        # in force since now at the latest.
        since_s = min(
            (
                self._roster_since_s.get(name, self._now_s)
                for name in successors
            ),
            default=at_s,
        )
        if at_s < since_s + ROSTER_OVERLAP_S:
            earliest = when(since_s + ROSTER_OVERLAP_S)
            raise row.error(
                "from",
                f"roster {row.name()} may be retired from {earliest}, "
                f"{ROSTER_OVERLAP_S:.0f} s after its successor",
            )

    def _publish(self, at_s: float, written: blame.Written) -> PlannedChange:
        base = self._running
        changed = change.Change(
            base=base.version,
            version=model.Version(base.version + 1),
            put=tuple(
                record for _, record in written.values() if record is not None
            ),
            delete=tuple(
                change.Deletion(*place)
                for place, (_, record) in written.items()
                if record is None
            ),
        )
        size = len(change.encode_change(changed))
        if size > origin.MAX_VALUE_BYTES:
            row = next(iter(written.values()))[0]
            raise row.error(
                "from",
                f"{len(written)} records change at {when(at_s)}, which takes "
                f"{size} bytes in one value of at most "
                f"{origin.MAX_VALUE_BYTES}; give some another time",
            )
        lines = tuple(
            difference.describe(*place, base.record(*place), record)
            for place, (_, record) in written.items()
        )
        try:
            self._running = base.applied(changed)
        except model.ConfigurationError as error:
            raise blame.change_error(error, written) from error
        return PlannedChange(at_s, changed, lines)


def when(at_s: float) -> str:
    """Return a time in UTC as ISO 8601."""
    found = datetime.datetime.fromtimestamp(at_s, datetime.UTC)
    return found.isoformat(timespec="seconds").replace("+00:00", "Z")
