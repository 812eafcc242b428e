"""Rules between records, checked on the state after a change."""

import collections.abc
import math

from pomeloward.catalog import draft
from pomeloward.catalog import kind
from pomeloward.catalog import recordrules
from pomeloward.catalog import records
from pomeloward.catalog import state

# Shares are written as decimal fractions, whose sum is seldom exactly 1.
SHARE_TOLERANCE = 1e-6

Reasons = collections.abc.Iterator[str]


def broken_rules(
    new: state.State,
    steps: collections.abc.Iterable[draft.Step],
    references: collections.abc.Iterable[tuple[kind.Kind, str]],
) -> Reasons:
    """Yield the reason for every rule that the new state breaks.

    Only the steps and the added references are checked, so that the cost is
    that of the change.
    """
    yield from _missing(new, references)
    services: set[str] = set()
    regions: set[str] = set()
    has_region = False
    for step in steps:
        if step.new is None:
            yield from _still_used(new, step)
        else:
            yield from _record_conflicts(new, step.new)
        for record in (step.old, step.new):
            if isinstance(record, records.SiteShare | records.Target):
                services.add(record.service)
            elif isinstance(record, records.Roster):
                regions.add(record.region)
        has_region = has_region or step.of_kind is kind.Kind.REGION
    for service in sorted(services):
        yield from _shares(new, service)
    for region in sorted(regions):
        yield from _roster_count(new, region)
    if has_region:
        yield from _budget_shares(new)


def _record_conflicts(new: state.State, record: records.Record) -> Reasons:
    match record:
        case records.Route():
            yield from _route_conflicts(new, record)
        case records.Host():
            yield from _host_region(new, record)
        case records.Roster():
            yield from _roster_hosts(new, record)


def _missing(
    new: state.State,
    references: collections.abc.Iterable[tuple[kind.Kind, str]],
) -> Reasons:
    for of_kind, name in references:
        if new.get(of_kind, name) is None:
            yield f"{of_kind.value} {name}: referred to but not known"


def _still_used(new: state.State, step: draft.Step) -> Reasons:
    count = new.counts.get(f"{step.of_kind.value}/{step.name}")
    if count is not None:
        yield (
            f"{step.of_kind.value} {step.name}: deleted while "
            f"{count.count} records refer to it"
        )


def _route_conflicts(new: state.State, route: records.Route) -> Reasons:
    for method in route.methods:
        members = new.members(state.route_group(method, route.path_prefix))
        if len(members) > 1:
            yield (
                f"route {route.id}: {method} {route.path_prefix} is also "
                f"claimed by {', '.join(set(members) - {route.id})}"
            )


def _host_region(new: state.State, host: records.Host) -> Reasons:
    zone = new.get(kind.Kind.ZONE, host.zone)
    if isinstance(zone, records.Zone) and zone.region != host.region:
        yield f"host {host.id}: zone {zone.id} is in region {zone.region}"


def _roster_hosts(new: state.State, roster: records.Roster) -> Reasons:
    place = f"roster {kind.name_of(roster)}"
    for name in roster.hosts:
        host = new.get(kind.Kind.HOST, name)
        if isinstance(host, records.Host) and host.region != roster.region:
            yield f"{place}: host {name} is in region {host.region}"
    known = {
        each.id
        for each in new.tables[kind.Kind.ZONE].values()
        if isinstance(each, records.Zone) and each.region == roster.region
    }
    for zone in sorted(set(roster.zones) - known):
        yield f"{place}: zone {zone} is not in the region"


def _shares(new: state.State, service: str) -> Reasons:
    shares = [
        record
        for record in new.group(kind.Kind.SHARE, service)
        if isinstance(record, records.SiteShare)
    ]
    if not shares:
        return
    total = math.fsum(share.share_ratio for share in shares)
    if abs(total - 1) > SHARE_TOLERANCE:
        yield f"service {service}: shares sum to {total:g}, not 1"
    sites = {
        target.site
        for target in new.group(kind.Kind.TARGET, service)
        if isinstance(target, records.Target)
    }
    for share in shares:
        if share.share_ratio and share.site not in sites:
            yield (
                f"service {service}: site {share.site} has a share but no "
                "target"
            )


def _roster_count(new: state.State, region: str) -> Reasons:
    count = len(new.members(f"{kind.Kind.ROSTER.value}/{region}"))
    if count > recordrules.MAX_ROSTERS:
        yield (
            f"region {region}: {count} rosters in circulation, more than "
            f"{recordrules.MAX_ROSTERS}"
        )


def _budget_shares(new: state.State) -> Reasons:
    total = math.fsum(
        region.budget_share_ratio
        for region in new.tables[kind.Kind.REGION].values()
        if isinstance(region, records.Region)
    )
    if total > 1 + SHARE_TOLERANCE:
        yield f"regions: budget_share_ratio sums to {total:g}, more than 1"
