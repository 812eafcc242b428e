"""Runs state machines and searches under fixed seeds."""

import os

import hypothesis
from hypothesis import stateful

SEED_COUNT = int(os.environ.get("POMELOWARD_SEEDS", "1"))


def run_machine(
    machine: type[stateful.RuleBasedStateMachine],
    max_examples: int = 100,
    step_count: int = 40,
) -> None:
    """Run a state machine under ``SEED_COUNT`` fixed seeds.

    The first seed is Hypothesis's derandomized one, so that a run of the
    suite gives the same verdict every time.
    """
    settings = hypothesis.settings(
        max_examples=max_examples,
        stateful_step_count=step_count,
        deadline=None,
        database=None,
        derandomize=True,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    stateful.run_state_machine_as_test(machine, settings=settings)
    random_settings = hypothesis.settings(settings, derandomize=False)
    for seed in range(1, SEED_COUNT):
        seeded = hypothesis.seed(seed)(type(machine.__name__, (machine,), {}))
        stateful.run_state_machine_as_test(seeded, settings=random_settings)
