"""A small configuration for tests of target control."""

from pomeloward import catalog
from pomeloward import model

REGION = model.RegionId("south")
SERVICE = model.ServiceId("orders")


class FakeView:
    """One service whose targets lie in zones ``z0``, ``z1`` and so on."""

    def __init__(self, targets, slots, hosts, zones=3, floor_ratio=0.5):
        self.zones = {
            f"z{n}": catalog.Zone(f"z{n}", REGION) for n in range(zones)
        }
        self.target_list = [
            catalog.Target(
                f"t{n:02}", SERVICE, f"z{n % zones}", f"s{n % 2}", "http://x"
            )
            for n in range(targets)
        ]
        self.entry = catalog.Service(
            SERVICE, floor_ratio=floor_ratio, slots_per_target=slots
        )
        self.host_list = [
            catalog.Host(
                f"h{n:02}", f"z{n % zones}", REGION, "127.0.0.1", 1, 2
            )
            for n in range(hosts)
        ]
        self.share_map = {}
        self.version = 1

    def service(self, service):
        return self.entry if service == SERVICE else None

    def services(self):
        return [self.entry]

    def targets(self, service):
        return self.target_list

    def shares(self, service):
        return self.share_map

    def hosts(self):
        return self.host_list

    def zone(self, zone):
        return self.zones[zone]

    def region(self, region):
        return catalog.Region(REGION, 64)

    def team(self, team):
        return None

    def stopped(self):
        """Return the targets that may get no new work."""
        return {
            target.id
            for target in self.target_list
            if target.is_leaving or self.zones[target.zone].is_out
        }

    def slots(self):
        """Return the slots of each target."""
        return {
            target.id: self.entry.slots_per_target
            for target in self.target_list
        }
