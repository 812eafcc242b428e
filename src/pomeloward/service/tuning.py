"""Thresholds and times of target control."""

import dataclasses
import math

from pomeloward import model


@dataclasses.dataclass(frozen=True, slots=True)
class Tuning:
    """Thresholds of one controller; times in ms, latencies in nats.

    A nat is a factor of e: latency evidence is the natural logarithm of a
    latency over the usual latency of its route on the reporting host.
    """

    # Promises 7 and 11 allow 3 s until no new work starts; a loan that was
    # asked for just before a change ends within this time.
    loan_ms: float = 2_900.0
    report_ms: float = 500.0
    # Reports of a host that holds and wants nothing. They keep what it heard
    # of the targets recent enough for a new controller (``hint_ms``). With
    # 213 hosts and 0.34 requests/s on each, reports of idle hosts every
    # 500 ms were three quarters of all.
    idle_report_ms: float = 2_500.0
    # Longest time that a request holds its slot after its start.
    hold_ms: float = 10_000.0
    # How long a host's memory of a warm target counts for a new controller;
    # no longer than the first backoff, so that it ends before any trial.
    hint_ms: float = 10_000.0
    windows_ms: tuple[float, ...] = (1_000.0, 2_000.0, 3_000.0, 4_000.0)
    evaluate_ms: float = 250.0
    # Evaluations in a row that must agree before an ejection.
    confirmations: int = 2
    z_score: float = 5.0
    min_ratio: float = 5.0
    fall_ratio: float = 2.0
    min_count: int = 4
    min_peers: int = 4
    # Differences between healthy targets that are always assumed, in nats.
    spread_floor: float = 0.15
    min_error_ratio: float = 0.25
    min_errors: int = 4
    # One answer this much slower, or this share of errors, makes a target the
    # last choice for a while.
    suspect_ratio: float = 4.0
    suspect_error_ratio: float = 0.3
    suspect_interval_ms: float = 1_000.0
    suspect_ms: float = 10_000.0
    max_suspect_ms: float = 60_000.0
    ramp_ms: float = 1_000.0
    trial_count: int = 5
    backoff_ms: float = 10_000.0
    max_backoff_ms: float = 300_000.0
    jitter_ratio: float = 0.2
    # Healthy time after which earlier ejections no longer lengthen backoff.
    forgive_ms: float = 300_000.0

    @property
    def min_nats(self) -> float:
        """The minimum ratio for an ejection, in nats."""
        return math.log(self.min_ratio)

    @property
    def suspect_nats(self) -> float:
        """The ratio of one answer for a suspicion, in nats."""
        return math.log(self.suspect_ratio)

    @property
    def fall_nats(self) -> float:
        """The minimum ratio for a fall to cold, in nats."""
        return math.log(self.fall_ratio)

    @property
    def loan_wait_ms(self) -> float:
        """How long a predecessor's loans may still start requests."""
        return model.outstanding_until_ms(0.0, self.loan_ms)
