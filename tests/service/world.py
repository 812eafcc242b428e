"""A controller, its hosts and the messages between them, step by step."""

import random

from pomeloward.service import controller
from pomeloward.service import hostslots
from pomeloward.service import outcome
from pomeloward.service import targetstate
from pomeloward.service import tuning
from tests.service import views

TUNING = tuning.Tuning()
STATE = targetstate.TargetState
# Every clock runs at its own speed; none differs from another by more than
# the bound of 1%.
SPEEDS = (1.0, 0.995, 1.005, 1.0)


class Host:
    """The slots of one host, with its own clock and runs."""

    def __init__(self, name, speed, view):
        self.name = name
        self.speed = speed
        self.holds = []
        self.runs = []
        self.outlived = set()
        self.joined = 0
        self.slots = hostslots.HostSlots(
            views.SERVICE, 1, TUNING, random.Random(name)
        )
        self.slots.configure(view.slots(), view.stopped())


class ReferenceTarget:
    """What a target bears: 1 request when cold, doubling each second."""

    def __init__(self):
        self.first_ms = None
        self.running = 0

    def bears(self, now_ms, slots):
        """Return how many requests the target bears at a time."""
        if self.first_ms is None:
            return 1
        return min(slots, 2 ** int((now_ms - self.first_ms) // 1_000))


class World:
    """All parts; times are those of a reference clock."""

    def __init__(self, targets=6, slots=4, hosts=3):
        self.now_ms = 0.0
        self.view = views.FakeView(targets, slots, hosts)
        self.hosts = [
            Host(host.id, SPEEDS[n], self.view)
            for n, host in enumerate(self.view.host_list)
        ]
        self.targets = {
            target.id: ReferenceTarget() for target in self.view.target_list
        }
        self.flight = []
        self.outlived = dict.fromkeys(self.targets, 0)
        self.epoch = 0
        self.controller = None
        self.stopped_at_ms = {}
        self.start_controller(None)

    def local_ms(self, host):
        """Return the time on a host's clock."""
        return self.now_ms * host.speed

    def controller_ms(self):
        """Return the time on the controller's clock."""
        return self.now_ms * SPEEDS[self.epoch % len(SPEEDS)] + 7 * self.epoch

    def start_controller(self, state):
        """Let a successor take over with or without a hand-over."""
        self.epoch += 1
        for host in self.hosts if state is None else ():
            self._outlive(host)
        self.controller = controller.Controller(
            views.SERVICE,
            views.REGION,
            self.epoch,
            TUNING,
            random.Random(self.epoch),
        )
        self.controller.start(self.view, state, self.controller_ms())

    def hand_over(self):
        """Let a successor take over the exported state."""
        self.start_controller(self.controller.export(self.controller_ms()))

    def send_report(self, host):
        """Put a host's report into flight."""
        report = host.slots.report(self.local_ms(host))
        self.flight.append((host, report, None))

    def deliver(self, index):
        """Deliver a message in flight; an answer goes into flight."""
        host, report, answer = self.flight.pop(index)
        if answer is not None:
            return host.slots.apply(answer)
        answer = self.controller.report(
            host.name, report, self.controller_ms()
        )
        if answer is not None:
            if answer.is_agreed:
                host.joined = self.epoch
            self.flight.append((host, report, answer))
        return False

    def exchange(self, host):
        """Report and apply the answer at once, until both agree."""
        again = True
        while again:
            self.send_report(host)
            self.deliver(len(self.flight) - 1)
            again = self.deliver(len(self.flight) - 1)

    def acquire(self, host, team="a"):
        """Let a request take a slot without sending it yet."""
        taken = host.slots.acquire("r", team, set(), self.local_ms(host))
        if taken is not None:
            host.holds.append(taken)

    def start(self, host):
        """Send the requests that still may be sent."""
        for run, target in host.holds:
            if not host.slots.may_start(target, self.local_ms(host)):
                self._release(host, run, outcome.Outcome.CANCELLED, 0.0)
                continue
            reference = self.targets[target]
            reference.running += 1
            if reference.first_ms is None:
                reference.first_ms = self.now_ms
            host.runs.append((run, target, self.now_ms))
            if host.joined != self.epoch:
                self._outlive(host)
            self.check_start(target)
        host.holds = []

    def check_start(self, target):
        """Check the promises about new work at the start of a request."""
        stopped_ms = self.stopped_at_ms.get(target)
        assert stopped_ms is None or self.now_ms - stopped_ms <= 3_000.0
        bears = self.targets[target].bears(
            self.now_ms, self.view.entry.slots_per_target
        )
        running = self.targets[target].running
        if bears >= self.view.entry.slots_per_target:
            running -= self.outlived[target]
        assert running <= bears, target

    def finish(self, host, index=0, result=outcome.Outcome.OK):
        """End one of a host's requests."""
        run, target, started_ms = host.runs.pop(index)
        self.outlived[target] -= run in host.outlived
        self.targets[target].running -= 1
        self._release(host, run, result, self.now_ms - started_ms)

    def advance(self, step_ms):
        """Let time pass; requests end at their longest time at the latest."""
        self.now_ms += step_ms
        for host in self.hosts:
            if not host.slots.has_loan(self.local_ms(host)):
                self._outlive(host)
            limit_ms = TUNING.hold_ms / host.speed
            while host.runs and (
                self.now_ms - host.runs[0][2] >= limit_ms - 1
            ):
                self.finish(host, result=outcome.Outcome.TIMEOUT)

    def _outlive(self, host):
        """Note requests that a controller need not count at warm targets.

        These run on after their host's loan has lapsed, or under the loan of
        a predecessor that crashed. A cold target gets none beside them.
        """
        for run, target, _ in host.runs:
            if run not in host.outlived:
                host.outlived.add(run)
                self.outlived[target] += 1

    def configure(self):
        """Let the controller take a changed configuration."""
        self.view.version += 1
        self.controller.configure(self.view, self.controller_ms())
        stopped = self.view.stopped()
        for target in self.targets:
            if target in stopped:
                self.stopped_at_ms.setdefault(target, self.now_ms)
            else:
                self.stopped_at_ms.pop(target, None)

    def _release(self, host, run, result, latency_ms):
        host.slots.release(run, result, latency_ms, self.local_ms(host))
