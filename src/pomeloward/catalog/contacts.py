"""The peers of a host: its contacts and those it pushes changes to."""

from pomeloward import model
from pomeloward import origin
from pomeloward.catalog import view as views

ALL_CONTACTS_LIMIT = 48
CONTACT_COUNT = 32


def zones_of_region(
    view: views.View, region: model.RegionId
) -> dict[model.HostId, model.ZoneId]:
    """Return the zone of each host of a region, for ``ReaderChoice``."""
    return {
        host.id: host.zone for host in view.hosts() if host.region == region
    }


def contacts_of(
    view: views.View, own: model.HostId
) -> tuple[model.HostId, ...]:
    """Return the hosts whose versions and heartbeats a host watches.

    They are all others of its region if there are few, and otherwise 32 by
    rendezvous hashing.
    """
    others = [host for host in _region_hosts(view, own) if host != own]
    if len(others) < ALL_CONTACTS_LIMIT:
        return tuple(sorted(others))
    ranking = origin.ranked(f"contact/{own}", others)
    return tuple(ranking[:CONTACT_COUNT])


def push_targets(
    view: views.View, own: model.HostId
) -> tuple[model.HostId, ...]:
    """Return the hosts that a host pushes changes to, at most 3.

    Each is the successor in one of three rankings by rendezvous hashing, two
    of the region and one of the fleet, so that every host is pushed to by as
    many as it pushes to. Superposed random cycles form an expander: C. Law
    and K.-Y. Siu, "Distributed construction of random expander networks"
    (2003).
    """
    region = _region_hosts(view, own)
    fleet = [host.id for host in view.hosts()]
    targets: list[model.HostId] = []
    for purpose, hosts in (("a", region), ("b", region), ("c", fleet)):
        ranking = origin.ranked(f"push/{purpose}", hosts)
        if own not in ranking:
            continue
        following = ranking[(ranking.index(own) + 1) % len(ranking)]
        if following != own and following not in targets:
            targets.append(following)
    return tuple(targets)


def _region_hosts(view: views.View, own: model.HostId) -> list[model.HostId]:
    record = view.host(own)
    if record is None:
        return []
    return list(zones_of_region(view, record.region))
