"""Finds the voters of a partition in each roster."""

import collections.abc

from pomeloward import catalog
from pomeloward import model
from pomeloward import ownership
from pomeloward.orders import messages
from pomeloward.ownership import territory


class Electorates:
    """The voters under the configuration in force, as owners see them."""

    def __init__(
        self, view: collections.abc.Callable[[], catalog.View]
    ) -> None:
        """Read the configuration from ``view``."""
        self._view = view
        self._known: dict[model.RegionId, territory.Territory] = {}

    def __call__(self, partition: model.PartitionId) -> messages.Electorate:
        """Return the voters, roster by roster."""
        region, number = ownership.split_partition(partition)
        view = self._view()
        known = self._known.get(region)
        if known is None or known.version != view.version:
            known = territory.Territory(view, region, known)
            self._known[region] = known
        return tuple(known.electorate(number).values())
