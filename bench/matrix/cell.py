"""Runs one cell: a fault, or a pair, that begins at one step."""

import dataclasses
import random
import signal
import traceback

import anyio
import eliot
import trio
import trio.testing

from bench.matrix import checkload
from bench.matrix import checks
from bench.matrix import faults
from bench.matrix import pauses
from bench.matrix import plan
from bench.matrix import plants
from bench.matrix import steps
from bench.matrix import traffic as traffics
from bench.matrix import violation
from bench.matrix import world as worlds
from bench.matrix import wrappers

# Voters are silent for one lease after their start, and buckets fill up.
_WARM_UP_S = 8.0
_ACTION_S = 0.3
_WITHDRAWAL_S = 0.5
_FAULT_S = 7.0
_MOVE_S = 5.0
_QUIET_S = 6.0
_REACH_S = 6.0
_WAVE = 80
_FIRST_WAVE = 40
_LEAST_JUMP_S = 1e-7
# Seconds of the real clock; a cell takes about 4 s.
_STUCK_S = 20
_PLANNED_STOP = plan.HOSTS[5]
_RESTARTED = plan.HOSTS[4]
_STOP_STEPS = frozenset(
    {steps.Step.DRAIN, steps.Step.HANDOVER, steps.Step.GRANT}
)


Task = tuple[str, str, int]


@dataclasses.dataclass(frozen=True)
class Result:
    """What a cell showed."""

    row: str
    column: str
    seed: int
    is_reached: bool
    violations: tuple[violation.Violation, ...]
    request_count: int
    served_count: int


class Cell:
    """One run of the fleet under a fault."""

    def __init__(self, row: str, step: steps.Step, seed: int) -> None:
        self._faults = [faults.BY_NAME[name] for name in row.split("+")]
        self._row = row
        self._step = step
        self._seed = seed
        self._ends: list[anyio.Event] = []

    def run(self) -> Result:
        """Run the cell under a paused clock."""
        wrappers.install()
        # Without these two, the order of tasks differs from run to run.
        trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True  # type: ignore[misc]
        trio._core._run._r.seed(self._seed)
        return trio.run(
            self._main,
            clock=_clock(),
            instruments=[pauses.PauseInstrument()],
        )

    async def _main(self) -> Result:
        async with anyio.create_task_group() as tasks:
            world = worlds.World(tasks, self._seed)
            eliot.add_destinations(world.on_log)
            world.start()
            await anyio.sleep(_WARM_UP_S)
            traffic = traffics.Traffic(
                world,
                random.Random(self._seed + 3),  # noqa: S311
            )
            tasks.start_soon(traffic.run)
            await anyio.sleep(2.0)
            await self._fault(world, traffic)
            result = self._result(world)
            eliot.remove_destination(world.on_log)
            world.close()
            tasks.cancel_scope.cancel()
        return result

    async def _fault(
        self, world: worlds.World, traffic: traffics.Traffic
    ) -> None:
        begun = anyio.Event()

        def begin() -> None:
            victim = world.current()
            for fault in self._faults:
                fault.begin(world, victim)
                world.tasks.start_soon(_end_later, fault, world, victim)
            begun.set()

        world.steps.arm(self._step, begin)
        world.tasks.start_soon(self._act, world, traffic)
        with anyio.move_on_after(_REACH_S):
            await begun.wait()
        await anyio.sleep(_MOVE_S)
        world.wave_at_s = anyio.current_time()
        world.tasks.start_soon(traffic.wave, _WAVE)
        await anyio.sleep(checkload.WAVE_S)
        world.move_out()
        await anyio.sleep(_QUIET_S)
        traffic.is_stopped = True
        if self._step not in _STOP_STEPS:
            await traffic.stop(_PLANNED_STOP)
        await anyio.sleep(_QUIET_S)
        await _look_for_keys(world)

    async def _act(
        self, world: worlds.World, traffic: traffics.Traffic
    ) -> None:
        """Do the control work that the column is about."""
        await anyio.sleep(_ACTION_S)
        if self._step is steps.Step.EJECTION:
            for name in plan.TARGETS[:2]:
                world.targets[name].slow_factor = 10.0
        if self._step is steps.Step.RESTART:
            world.hosts[_RESTARTED].crash()
            world.start_host(_RESTARTED)
        if self._step in _STOP_STEPS:
            await traffic.stop(_PLANNED_STOP)
        await anyio.sleep(_WITHDRAWAL_S)
        world.withdraw_key()
        # The added target meets more demand than it bears.
        await traffic.wave(_FIRST_WAVE)

    def _result(self, world: worlds.World) -> Result:
        record = world.seen
        return Result(
            self._row,
            self._step.value,
            self._seed,
            world.steps.reached,
            tuple(checks.all_violations(world)),
            len(record.calls),
            sum(call.status == 200 for call in record.calls),
        )


def _clock() -> trio.testing.MockClock:
    """Return a paused clock that goes on to the next deadline.

    A jump that is lost in the rounding of the clock's time would be made
    again without end.
    """
    clock = trio.testing.MockClock(autojump_threshold=0)
    jump = clock.jump

    def jump_on(seconds: float) -> None:
        jump(max(seconds, _LEAST_JUMP_S))

    clock.jump = jump_on  # type: ignore[method-assign]
    return clock


def run_task(task: Task) -> Result:
    """Run the cell of a row, a column and a seed."""
    row, column, seed = task
    signal.signal(signal.SIGALRM, _stop_stuck)
    signal.alarm(_STUCK_S)
    try:
        return Cell(row, steps.Step(column), seed).run()
    except BaseException:  # noqa: BLE001
        lines = traceback.format_exc().splitlines()
        found = violation.Violation("ended", "\n    ".join(lines[-14:]))
        return Result(row, column, seed, True, (found,), 0, 0)
    finally:
        signal.alarm(0)


def run_planted(name: str, seed: int) -> Result:
    """Run the cell of a planted fault, with the fault in place."""
    planted = plants.PLANTS[name]
    wrappers.install()
    undo = planted.plant()
    try:
        return run_task((planted.row, planted.column, seed))
    finally:
        undo()


class _StuckError(BaseException):
    """A cell whose paused clock does not go on."""


def _stop_stuck(number: int, frame: object) -> None:
    raise _StuckError("the cell did not end")


async def _look_for_keys(world: worlds.World) -> None:
    """Look for keys in what hosts tell about themselves."""
    for host in world.live():
        with anyio.move_on_after(1.0):
            for name in ("metrics", "status"):
                call = await world.caller.ask(host, "GET", name, "")
                if any(secret in call.body for secret in world.secrets):
                    world.seen.leaks.append(f"page {name}")


async def _end_later(
    fault: faults.Fault, world: worlds.World, victim: object
) -> None:
    await anyio.sleep(_FAULT_S)
    fault.end(world, victim)  # type: ignore[arg-type]
