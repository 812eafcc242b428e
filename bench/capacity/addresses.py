"""Address answers by the hosts of a region."""

import collections.abc
import random
import time

from bench.capacity import fit
from bench.capacity import plannedfleet
from bench.capacity import row
from bench.capacity import run as runs
from bench.capacity import size
from pomeloward import address
from pomeloward import catalog
from pomeloward import model
from pomeloward import ownership

_REGION = model.RegionId("region-0")
_SIZES = (160, 320, 480, 640)


class _Members:
    def __init__(self, hosts: list[model.HostId]) -> None:
        self._hosts = hosts

    def state_of(
        self, host: model.HostId, now_ms: float
    ) -> model.HostState | None:
        return model.HostState.READY

    def is_silent(self, host: model.HostId, now_ms: float) -> bool:
        return False

    def has_standing(self, now_ms: float) -> bool:
        return True

    def ready_hosts(
        self, now_ms: float
    ) -> collections.abc.Sequence[model.HostId]:
        return self._hosts

    def contacts(self) -> collections.abc.Sequence[model.HostId]:
        return self._hosts


class _Owners:
    def __init__(self, hosts: list[model.HostId]) -> None:
        self._hosts = hosts

    def owner_of(
        self, partition: model.PartitionId, now_ms: float
    ) -> model.HostId | None:
        number = ownership.split_partition(partition)[1]
        return self._hosts[number % len(self._hosts)]

    def holds(
        self, partition: model.PartitionId, now_ms: float
    ) -> model.Epoch | None:
        return None

    def voters_of(
        self, partition: model.PartitionId
    ) -> tuple[model.HostId, ...]:
        return ()

    def memory_started_ms(self) -> float:
        return 0.0


def measure(run: runs.Run) -> list[row.Row]:
    """Return the row of address answers."""
    by_time = fit.fit([(float(n), _time(n, run)) for n in _SIZES])
    callers = size.TEAMS * size.CALLERS_PER_TEAM
    answers_per_s = callers / size.ADDRESS_LIFETIME_S / size.HOSTS
    return [
        row.Row(
            row.Role.EVERY,
            f"address answers, {answers_per_s:.0f}/s",
            "owners of the portions, then weighted rendezvous hashing",
            core_ratio=by_time.at(size.HOSTS) * answers_per_s,
            error_ratio=by_time.error_ratio,
            change="keep a team's answer for 200 ms; a longer lifetime",
        )
    ]


def _time(count: int, run: runs.Run) -> float:
    kept = plannedfleet.first_hosts(count)
    teams = [
        catalog.Team(model.TeamId(f"team-{n}"), 10.0, 50.0) for n in range(500)
    ]
    view = catalog.Configuration.of_records(model.Version(1), [*kept, *teams])
    hosts = [host.id for host in view.hosts() if host.region == _REGION]
    book = address.AddressBook(
        hosts[0],
        _REGION,
        _Members(hosts),
        _Owners(hosts),
        random.Random(run.seed),
    )
    book.configure(view)
    started = time.process_time()
    for number, team in enumerate(teams):
        # Ten answers a second meet a fresh list of hosts each 200 ms.
        book.answer(team.id, number * 100.0)
    return (time.process_time() - started) / len(teams)
