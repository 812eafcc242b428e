"""The sizes of a site and the shares of its faults."""

import dataclasses

ZONES = ("a", "b", "c", "d")
HOST_NAME = "site.example"
KEY = "key-number-0"


@dataclasses.dataclass(frozen=True)
class Shape:
    """How much of everything there is, and how often it misbehaves."""

    hosts: int
    # Targets by service.
    targets: dict
    target_processes: int
    caller_processes: int
    # Callers in each process.
    callers: int
    rate_per_s: float
    # The part of the answers that a second answer follows.
    second_ratio: float
    host_stop_gap_s: float
    target_stop_gap_s: float
    latency_ms: tuple = (20, 200)
    failure_ratio: float = 0.012
    # The part of the targets that fail half of their requests at any time.
    gray_ratio: float = 0.07
    idle_limit_s: float = 10.0
    kill_ratio: float = 0.2


FULL = Shape(
    hosts=48,
    targets={"orders": 20, "logistics": 16},
    target_processes=12,
    caller_processes=4,
    callers=40,
    rate_per_s=160.0,
    second_ratio=0.03,
    host_stop_gap_s=1.3,
    target_stop_gap_s=2.5,
)
# Each connection between a host and a target has to carry many requests,
# half of them behind a second answer, to show a fault within seconds.
SMALL = Shape(
    hosts=4,
    targets={"orders": 2, "logistics": 2},
    target_processes=2,
    caller_processes=1,
    callers=12,
    rate_per_s=80.0,
    second_ratio=0.3,
    host_stop_gap_s=3.0,
    target_stop_gap_s=4.0,
    latency_ms=(20, 60),
    failure_ratio=0.25,
)
SIZES = {"full": FULL, "small": SMALL}
