"""Tests of the fault matrix: whole cells, and checks shown red."""

import pytest

from bench.matrix import cell
from bench.matrix import faults
from bench.matrix import plants
from bench.matrix import rows


@pytest.mark.parametrize(
    "task",
    [
        ("none", "rate", 1),
        ("host-paused", "dispatch", 1),
    ],
)
def test_cell_keeps_all_promises(task):
    """Guards against a promise that a fault breaks, or a fault not begun."""
    result = cell.run_task(task)
    assert result.is_reached
    assert result.violations == ()
    assert result.served_count > result.request_count // 4


@pytest.mark.parametrize("name", ["key-left-in", "always-not-run"])
def test_planted_fault_is_found_by_its_check(name):
    """Guards against checks that see nothing."""
    result = cell.run_planted(name, 1)
    promises = {found.promise for found in result.violations}
    assert plants.PLANTS[name].promise in promises


def test_every_promise_has_a_planted_fault():
    """Guards against a check that was never shown red."""
    promises = {planted.promise for planted in plants.PLANTS.values()}
    assert promises == {f"P{number}" for number in range(1, 15)}


def test_quick_run_has_every_fault():
    """Guards against a row that a quick run leaves out."""
    tasks = rows.tasks(1, is_quick=True)
    assert {fault.name for fault in faults.FAULTS} <= {
        row for row, _, _ in tasks
    }
