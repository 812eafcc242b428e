"""A request under which targets have crashed."""

import dataclasses

from pomeloward import model

# A target needs longer than this to come back, so that connections that it
# closes within this time end in the same crash.
_SAME_CRASH_MS = 1_000.0


@dataclasses.dataclass(slots=True)
class Suspect:
    """The crashes under one request since a target last ran it whole.

    ``last_crash_at_ms`` has the time of the latest crash of each target.
    Until ``quarantined_until_ms`` the request is not sent to any target;
    ``quarantine_ms`` is the length of the latest quarantine.
    """

    last_crash_at_ms: dict[model.TargetId, float] = dataclasses.field(
        default_factory=dict
    )
    crash_count: int = 0
    quarantined_until_ms: float = float("-inf")
    quarantine_ms: float = 0.0

    def add_crash(self, target_id: model.TargetId, now_ms: float) -> bool:
        """Count a crash; return whether it was not known yet."""
        known_at_ms = self.last_crash_at_ms.get(target_id, float("-inf"))
        if now_ms - known_at_ms < _SAME_CRASH_MS:
            return False
        self.last_crash_at_ms[target_id] = now_ms
        self.crash_count += 1
        return True
