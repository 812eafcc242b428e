"""The last decisions of a host, kept in memory."""

import collections

from pomeloward import model
from pomeloward.observability import decision

# About 200 bytes each: 2 MB of the 64 MB that control may use.
_CAPACITY = 10_000


class DecisionJournal:
    """A bounded memory of decisions, for ``explain``.

    Example::

        journal = DecisionJournal()
        journal.record(Decision(at_ms=1.0, kind="retry", request=request_id))
        journal.decisions_about_request(request_id)
    """

    def __init__(self, capacity: int = _CAPACITY) -> None:
        self._decisions: collections.deque[decision.Decision] = (
            collections.deque(maxlen=capacity)
        )

    def record(self, entry: decision.Decision) -> None:
        """Keep a decision; the oldest one is forgotten when full."""
        self._decisions.append(entry)

    def decisions_about_request(
        self, request: model.RequestId
    ) -> list[decision.Decision]:
        """Return the decisions about a request, oldest first."""
        return [d for d in self._decisions if d.request == request]

    def decisions_about_target(
        self, target: model.TargetId
    ) -> list[decision.Decision]:
        """Return the decisions about a target, oldest first."""
        return [d for d in self._decisions if d.target == target]

    def decisions_about_team(
        self, team: model.TeamId
    ) -> list[decision.Decision]:
        """Return the decisions about a team, oldest first."""
        return [d for d in self._decisions if d.team == team]
