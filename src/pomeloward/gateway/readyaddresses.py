"""The address answer from the hosts that are known to be ready."""

import collections.abc
import dataclasses
import random

from pomeloward import catalog
from pomeloward import membership
from pomeloward import model

_LIFETIME_MS = 10_000.0
_COUNT = 4


@dataclasses.dataclass(frozen=True, slots=True)
class ReadyAnswer:
    """Hosts to use, and for how long."""

    addresses: tuple["ReadyAddress", ...]
    lifetime_ms: float = _LIFETIME_MS


@dataclasses.dataclass(frozen=True, slots=True)
class ReadyAddress:
    """Where callers reach a host."""

    address: str
    port: int


class ReadyAddresses:
    """Names ready hosts in an order that differs by answer."""

    def __init__(
        self,
        view: collections.abc.Callable[[], catalog.View],
        members: membership.Membership,
        rng: random.Random,
    ) -> None:
        self._view = view
        self._members = members
        self._rng = rng

    def answer(self, team: model.TeamId | None, now_ms: float) -> ReadyAnswer:
        """Return some ready hosts."""
        view = self._view()
        ready = list(self._members.ready_hosts(now_ms))
        self._rng.shuffle(ready)
        records = [view.host(host) for host in ready]
        found = [record for record in records if record is not None]
        return ReadyAnswer(
            tuple(
                ReadyAddress(record.address, record.caller_port)
                for record in found[:_COUNT]
            )
        )
