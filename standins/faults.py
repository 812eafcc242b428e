"""Faults of a target, switched on and off by the launcher."""

import dataclasses


@dataclasses.dataclass(slots=True)
class Faults:
    """What is wrong with a target at the moment.

    ``unreachable_from`` lists client addresses whose connections are cut
    before an answer. ``flap_period_ms`` lets every fault come and go.
    """

    slow_factor: float = 1.0
    error_ratio: float = 0.0
    half_answer_ratio: float = 0.0
    unreachable_from: tuple[str, ...] = ()
    is_down: bool = False
    flap_period_ms: float = 0.0
    is_health_misleading: bool = False

    def is_active(self, now_ms: float) -> bool:
        """Tell whether a flapping target is in its bad half period."""
        if self.flap_period_ms <= 0:
            return True
        return int(now_ms / self.flap_period_ms) % 2 == 0
