"""Rules on how a record may differ from the one that it replaces."""

import collections.abc

from pomeloward.catalog import draft
from pomeloward.catalog import kind
from pomeloward.catalog import records
from pomeloward.catalog import state

Reasons = collections.abc.Iterator[str]


def broken_rules(base: state.State, step: draft.Step) -> Reasons:
    """Yield the reason for every forbidden transition of a step."""
    if step.of_kind is kind.Kind.ROSTER:
        yield from _roster(base, step)
    elif step.old is not None and step.new is not None:
        yield from _replaced(step.old, step.new)


def _replaced(before: records.Record, after: records.Record) -> Reasons:
    match before, after:
        case records.Key() as old, records.Key() as new:
            # Requests in flight would be billed to the wrong team.
            if old.team != new.team:
                yield "a key cannot move to another team; withdraw it first"
        case records.Region() as old, records.Region() as new:
            # Every budget, order and controller would change its partition
            # on different hosts at different times.
            if old.partitions != new.partitions:
                yield "partitions cannot change while the region exists"
        case records.Zone() as old, records.Zone() as new:
            if old.region != new.region:
                yield "a zone cannot move to another region"
        case records.Target() as old, records.Target() as new:
            if old.service != new.service:
                yield "a target cannot move to another service"


def _roster(base: state.State, step: draft.Step) -> Reasons:
    """Rosters decide majorities, so they never change once published."""
    old, new = step.old, step.new
    if isinstance(old, records.Roster) and isinstance(new, records.Roster):
        if old != new:
            yield "a published roster cannot change; publish a new number"
        return
    region = step.name.rpartition("/")[0]
    numbers = [
        roster.number
        for roster in base.group(kind.Kind.ROSTER, region)
        if isinstance(roster, records.Roster)
    ]
    if isinstance(new, records.Roster) and numbers:
        if new.number <= max(numbers):
            yield f"number must be above {max(numbers)}"
    elif isinstance(old, records.Roster) and old.number == max(numbers):
        yield "the newest roster of a region cannot be retired"
