"""Sizes of the deployments and the hosts of the fleet model."""

import dataclasses
import random

from bench import modelview
from pomeloward import model
from pomeloward.queue import fairqueue
from pomeloward.service import hostslots
from pomeloward.service import targetrecord
from pomeloward.service import tuning as tuning_


@dataclasses.dataclass(frozen=True)
class Deployment:
    """Size and load of one service."""

    name: str
    targets: int
    slots: int
    hosts: int
    trip_ms: float
    load_ratio: float = 0.6
    service_ms: float = 150.0
    teams: tuple[float, ...] = (0.3, 0.2, 0.1, 0.1, 0.1, 0.1, 0.05, 0.05)

    @property
    def rate_per_ms(self) -> float:
        """Requests per ms at the usual load."""
        return self.targets * self.slots * self.load_ratio / self.service_ms


KUNENE = Deployment("kunene", 20, 3, 40, 0.5)
BERTOLDI = Deployment("bertoldi", 18, 2, 40, 1.0)


class Host:
    """One host with its slots and queue; ``alone`` has own detection."""

    def __init__(self, index: int, seed: int, tuning: tuning_.Tuning) -> None:
        self.name = model.HostId(f"h{index:02}")
        self.queue = fairqueue.FairQueue()
        self.slots = hostslots.HostSlots(
            modelview.SERVICE, 1, tuning, random.Random(seed * 1_000 + index)
        )
        self.is_asking = False
        self.is_due = False
        self.reported_ms = float("-inf")
        self.alone: list[targetrecord.TargetRecord] = []
        self.avoid_until_ms: dict[model.TargetId, float] = {}
