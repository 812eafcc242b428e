"""The hosts of a region and who of them beats with this one."""

import collections.abc

from pomeloward import catalog
from pomeloward import model
from pomeloward.membership import contacts

HostsByRegion = collections.abc.Mapping[
    model.RegionId, collections.abc.Sequence[model.HostId]
]


def hosts_by_region(view: catalog.View) -> HostsByRegion:
    """Return the hosts of a configuration, in order."""
    found: dict[model.RegionId, list[model.HostId]] = {}
    for host in view.hosts():
        found.setdefault(host.region, []).append(host.id)
    return {region: sorted(hosts) for region, hosts in found.items()}


class Mesh:
    """A host's contacts among the hosts of all regions.

    ``hosts`` are those of the region in the order that digests count by.
    ``is_large`` tells that not all of them are contacts. To make one takes a
    few milliseconds in a large region.
    """

    def __init__(
        self,
        own: model.HostId,
        region: model.RegionId,
        by_region: HostsByRegion,
    ) -> None:
        self.by_region = by_region
        self.hosts = tuple(by_region.get(region, ()))
        self.indexes = {host: index for index, host in enumerate(self.hosts)}
        self.contacts = contacts.regional_contacts(own, self.hosts)
        self.remote = tuple(
            contact
            for name, others in by_region.items()
            if name != region
            for contact in contacts.remote_contacts(own, self.hosts, others)
        )
        self.everyone = frozenset(self.hosts).union(*by_region.values())
        self.is_large = len(self.contacts) + 1 < len(self.hosts)
