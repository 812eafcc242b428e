"""Keeps the most recent decisions of a host in memory."""

import collections

from pomeloward import model
from pomeloward.observability import decision

# At about 200 bytes each, 2 MB of the 64 MB that control state may use.
_MAX_DECISIONS = 10_000


class DecisionJournal:
    """A bounded list of decisions, which the ``explain`` endpoint reads.

    Example::

        journal = DecisionJournal()
        journal.record(Decision(at_ms=1.0, kind="retry", request=request_id))
        journal.decisions_about_request(request_id)
    """

    def __init__(self, max_decisions: int = _MAX_DECISIONS) -> None:
        self._decisions: collections.deque[decision.Decision] = (
            collections.deque(maxlen=max_decisions)
        )

    def record(self, entry: decision.Decision) -> None:
        """Append a decision; a full journal drops its oldest one."""
        self._decisions.append(entry)

    def decisions_about_request(
        self, request: model.RequestId
    ) -> list[decision.Decision]:
        """Return the decisions about a request, oldest first."""
        return [each for each in self._decisions if each.request == request]

    def decisions_about_target(
        self, target: model.TargetId
    ) -> list[decision.Decision]:
        """Return the decisions about a target, oldest first."""
        return [each for each in self._decisions if each.target == target]

    def decisions_about_team(
        self, team: model.TeamId
    ) -> list[decision.Decision]:
        """Return the decisions about a team, oldest first."""
        return [each for each in self._decisions if each.team == team]
