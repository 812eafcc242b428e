"""A request under which targets have crashed."""

import dataclasses


@dataclasses.dataclass(slots=True)
class Suspect:
    """The crashes under one request since a target last ran it whole.

    Until ``quarantined_until_ms`` the request is not sent to any target;
    ``quarantine_ms`` is the length of the latest quarantine.
    """

    crash_count: int = 0
    last_crash_at_ms: float = float("-inf")
    quarantined_until_ms: float = float("-inf")
    quarantine_ms: float = 0.0

    def add_crash(self, started_at_ms: float, crashed_at_ms: float) -> bool:
        """Count the crash of a run; return whether it is further evidence.

        Runs that were under way together may have ended for one reason that
        lies outside the request, such as the loss of a rack.
        """
        if started_at_ms < self.last_crash_at_ms:
            return False
        self.last_crash_at_ms = crashed_at_ms
        self.crash_count += 1
        return True
