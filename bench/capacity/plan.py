"""Measures everything and gathers the rows."""

import collections.abc
import dataclasses
import math

from bench.capacity import addresses
from bench.capacity import configuration
from bench.capacity import fit
from bench.capacity import heartbeat
from bench.capacity import links
from bench.capacity import loans
from bench.capacity import orders
from bench.capacity import platformreads
from bench.capacity import process
from bench.capacity import reports
from bench.capacity import row
from bench.capacity import run as runs
from bench.capacity import size
from bench.capacity import spread
from bench.capacity import transport
from bench.capacity import votes

# How many voters a host asks to record an intent when all answer.
ASKED_VOTERS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """All rows, and what the plots and notes need."""

    run: runs.Run
    rows: list[row.Row]
    few_rows: list[row.Row]
    configuration: configuration.Result
    hops: fit.Fit
    loan_bytes: list[tuple[int, float]]
    reports: reports.Result
    library_mb: float
    python_mb: float
    snapshot_shards: int


def measure(
    seed: int, is_quick: bool, log: collections.abc.Callable[[str], None]
) -> Plan:
    """Run every measurement, one after the other."""
    log("configuration")
    run = runs.Run(seed, is_quick, transport.measure(is_quick))
    loaded = configuration.measure(run)
    rows = [*loaded.rows]
    shards = math.ceil(loaded.shards.at(size.TEAMS))
    log("spread")
    spread_rows, hops = spread.measure(run)
    rows += spread_rows
    log("membership and ownership")
    rows += heartbeat.measure(run)
    rows += votes.measure(run)
    rows += links.measure(run)
    log("loans")
    loan_rows, loan_bytes = loans.measure(run)
    rows += loan_rows
    log("orders")
    rows += orders.measure(run, ASKED_VOTERS)
    log("reports")
    reported = reports.measure(run)
    rows += reported.rows
    log("addresses")
    rows += addresses.measure(run)
    rows += platformreads.measure(shards)
    return Plan(
        run,
        rows,
        reported.few,
        loaded,
        hops,
        loan_bytes,
        reported,
        process.resident_mb("pomeloward.commands.host"),
        process.resident_mb("sys"),
        shards,
    )
