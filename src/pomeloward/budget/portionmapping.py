"""Where the portions of teams' budgets belong."""

import typing

from pomeloward import catalog
from pomeloward import model


class PortionMapping(typing.Protocol):
    """Maps a portion of a team's budget to a partition."""

    def __call__(
        self, region: catalog.Region, team: model.TeamId, portion: int
    ) -> model.PartitionId:
        """Return the partition."""
