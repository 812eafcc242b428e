"""What is known of one host."""

import dataclasses

from pomeloward import model

# The bound of design section 2.1. A host is not silent after the loss of one
# heartbeat, even with the longer period.
SILENCE_MS = 2_500.0


@dataclasses.dataclass(slots=True)
class Sighting:
    """The last beat of a host that beats here."""

    incarnation: model.Incarnation
    state: model.HostState
    version: model.Version
    load: int
    is_mutual: bool
    heard_ms: float
    changed_ms: float

    def is_fresh(self, now_ms: float) -> bool:
        """Tell whether the host has been heard lately."""
        return now_ms < self.heard_ms + SILENCE_MS
