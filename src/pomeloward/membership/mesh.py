"""The hosts of a region and who of them beats with this one."""

from pomeloward import catalog
from pomeloward import model
from pomeloward.membership import contacts


class Mesh:
    """A host's contacts under one configuration.

    ``hosts`` are those of the region in the order that digests count by.
    ``is_large`` tells that not all of them are contacts.
    """

    def __init__(
        self,
        own: model.HostId,
        region: model.RegionId,
        view: catalog.View | None = None,
    ) -> None:
        by_region: dict[model.RegionId, list[model.HostId]] = {}
        for host in [] if view is None else view.hosts():
            by_region.setdefault(host.region, []).append(host.id)
        hosts = sorted(by_region.pop(region, []))
        self.hosts = tuple(hosts)
        self.indexes = {host: index for index, host in enumerate(hosts)}
        self.contacts = contacts.regional_contacts(own, hosts)
        self.remote = tuple(
            contact
            for others in by_region.values()
            for contact in contacts.remote_contacts(own, hosts, others)
        )
        self.everyone = frozenset(self.hosts).union(*by_region.values())
        self.is_large = len(self.contacts) + 1 < len(hosts)
