"""Reports and answers of services by hosts, targets and load."""

import collections
import collections.abc
import dataclasses
import random
import time

from bench import fleetmodel
from bench import fleetparts
from bench import modelview
from bench.capacity import fit
from bench.capacity import framing
from bench.capacity import row
from bench.capacity import run as runs
from bench.capacity import size
from pomeloward import model
from pomeloward.service import controller as controller_
from pomeloward.service import messages
from pomeloward.service import tuning

# Two lines are fitted, through the four lowest and the four highest.
HOSTS = (4, 8, 16, 27, 53, 107, 213)
_QUICK_HOSTS = (4, 8, 16, 32)
TARGETS = (7, 14, 28, 41)
_SLOTS = 4
_TRIP_MS = 0.5
_WARM_MS = 5_000.0
# The hosts of a region that would serve a service together, if callers of
# one service were sent to the same hosts.
FEW_HOSTS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Traffic of one service in one region, per second."""

    reports: float
    report_bytes: float
    answers: float
    answer_bytes: float
    host_core: float
    controller_core: float


class _Controller(controller_.Controller):
    """Counts the messages of the exchange, and its own time."""

    def __init__(self, seed: int) -> None:
        self.sent: collections.Counter[str] = collections.Counter()
        self.spent_s = 0.0
        super().__init__(
            modelview.SERVICE,
            modelview.REGION,
            model.Epoch(1_790_000_000_000),
            tuning.Tuning(),
            random.Random(seed),
        )

    def report(
        self, host: model.HostId, report: messages.Report, now_ms: float
    ) -> messages.Answer | None:
        """Count a report and its answer."""
        self.sent["reports"] += 1
        self.sent["report bytes"] += framing.ask_bytes(report)
        started = time.process_time()
        answer = super().report(host, report, now_ms)
        self.spent_s += time.process_time() - started
        if answer is not None:
            self.sent["answers"] += 1
            self.sent["answer bytes"] += framing.answer_bytes(answer)
        return answer

    def nudges(self, now_ms: float) -> list[model.HostId]:
        """Count the nudges."""
        started = time.process_time()
        names = super().nudges(now_ms)
        self.spent_s += time.process_time() - started
        nudge = messages.Nudge(service=self.service, epoch=self.epoch)
        self.sent["answers"] += len(names)
        self.sent["answer bytes"] += len(names) * framing.tell_bytes(nudge)
        return names


def one_service(hosts: int, targets: int, run: runs.Run) -> Load:
    """Run one service with its planned share of all requests."""
    rate_per_ms = size.REQUESTS_PER_S / size.SERVICES / size.REGIONS / 1_000
    concurrent = rate_per_ms * size.SERVICE_MS
    deployment = fleetparts.Deployment(
        "planned",
        targets,
        _SLOTS,
        hosts,
        _TRIP_MS,
        load_ratio=concurrent / (targets * _SLOTS),
        service_ms=size.SERVICE_MS,
    )
    fleet = fleetmodel.Fleet(deployment, run.seed, tuning.Tuning())
    controller = _Controller(run.seed)
    controller.start(fleet.view, None, 0.0)
    fleet.controller = controller
    fleet.run(_WARM_MS)
    controller.sent.clear()
    controller.spent_s = 0.0
    span_s = 2.0 if run.is_quick else 6.0
    started = time.process_time()
    fleet.run(_WARM_MS + span_s * 1_000)
    spent = time.process_time() - started - controller.spent_s
    sent = controller.sent
    return Load(
        sent["reports"] / span_s,
        sent["report bytes"] / span_s,
        sent["answers"] / span_s,
        sent["answer bytes"] / span_s,
        spent / span_s,
        controller.spent_s / span_s,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Rows as it is, rows with few hosts for a service, and the loads."""

    rows: list[row.Row]
    few: list[row.Row]
    by_hosts: list[tuple[int, Load]]
    by_targets: list[tuple[int, Load]]


def measure(run: runs.Run) -> Result:
    """Measure one service by hosts and by targets."""
    targets = round(size.REGION_TARGETS)
    by_hosts = [
        (hosts, one_service(hosts, targets, run))
        for hosts in (_QUICK_HOSTS if run.is_quick else HOSTS)
    ]
    hosts = 16 if run.is_quick else 53
    by_targets = [(each, one_service(hosts, each, run)) for each in TARGETS]
    loads = [(float(hosts), load) for hosts, load in by_hosts]
    return Result(
        _rows(run, loads[-4:], size.REGION_HOSTS),
        _rows(run, loads[:4], float(FEW_HOSTS)),
        by_hosts,
        by_targets,
    )


def _rows(
    run: runs.Run, loads: list[tuple[float, Load]], hosts: float
) -> list[row.Row]:
    """Return the rows of a host and of a controller."""

    def line(value: collections.abc.Callable[[Load], float]) -> fit.Fit:
        return fit.fit([(count, value(load)) for count, load in loads])

    def mean(found: fit.Fit) -> float:
        """Return the fleet's total by the line, for each host."""
        return max(0.0, found.at(hosts)) * size.HOST_SERVICES

    rows = []
    for role, name, mechanism, fits in (
        (
            row.Role.EVERY,
            f"reports of services, each from {hosts:.0f} hosts",
            "a report each 500 ms and at once for a slot",
            (
                line(lambda load: load.reports),
                line(lambda load: load.report_bytes),
                line(lambda load: load.host_core),
            ),
        ),
        (
            row.Role.CONTROLLER,
            f"answers and nudges of controllers to {hosts:.0f} hosts",
            "slot loans, verdicts and states in each answer",
            (
                line(lambda load: load.answers),
                line(lambda load: load.answer_bytes),
                line(lambda load: load.controller_core),
            ),
        ),
    ):
        count, total, core = map(mean, fits)
        core += run.transport.core_ratio(count, total)
        rows.append(
            row.Row(
                role,
                name,
                mechanism,
                messages_per_s=count,
                bytes_per_s=total,
                core_ratio=core,
                error_ratio=max(each.error_ratio for each in fits),
                change="address answers by service: callers of a service on "
                "few hosts",
            )
        )
    return rows
