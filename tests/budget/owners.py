"""Owners of partitions that tests set by hand."""

from pomeloward import catalog
from pomeloward import model


class Owners:
    """One table of owners for all hosts of a fake fleet."""

    def __init__(self):
        self.table = {}

    def of(self, host):
        """Return the ownership as one host sees it."""
        return _HostOwners(self, host)


class _HostOwners:
    def __init__(self, owners, host):
        self._owners = owners
        self._host = host

    def owner_of(self, partition, now_ms):
        return self._owners.table.get(partition, (None, 0))[0]

    def holds(self, partition, now_ms):
        owner, epoch = self._owners.table.get(partition, (None, 0))
        return model.Epoch(epoch) if owner == self._host else None


def configuration(hosts, teams, version=1, regions=(("south", 3, 1.0),)):
    """Return a configuration of one zone with all hosts in one roster."""
    first = regions[0][0]
    return catalog.Configuration.of_records(
        version,
        [
            *(catalog.Region(*region) for region in regions),
            catalog.Zone("z", first),
            *(
                catalog.Host(
                    host, "z", first, f"127.0.0.{index + 1}", 8443, 9443
                )
                for index, host in enumerate(hosts)
            ),
            catalog.Roster(first, 1, tuple(hosts), ("z",) * len(hosts)),
            *teams,
        ],
    )
