"""Requests of one host that hold slots."""

import collections.abc

from pomeloward import model
from pomeloward.service import outcome as outcome_

# Weight of one request in the usual run time; covers about 20 requests.
_RUN_WEIGHT = 0.05

# Target, route, team and start of a request that holds a slot.
Run = tuple[model.TargetId, model.RouteId, model.TeamId, float]


class Runs:
    """Requests under way, by number, with the slots in use per target."""

    def __init__(self) -> None:
        self.in_use: dict[model.TargetId, int] = {}
        self.usual_ms = 0.0
        self._runs: dict[int, Run] = {}
        self._number = 0

    def __len__(self) -> int:
        return len(self._runs)

    def start(
        self,
        target: model.TargetId,
        route: model.RouteId,
        team: model.TeamId,
        now_ms: float,
    ) -> int:
        """Note that a request took a slot; return its number."""
        self._number += 1
        self._runs[self._number] = (target, route, team, now_ms)
        self.in_use[target] = self.in_use.get(target, 0) + 1
        return self._number

    def end(
        self, number: int, outcome: outcome_.Outcome, now_ms: float
    ) -> tuple[model.TargetId, model.RouteId]:
        """Note that a request gave its slot back."""
        target, route, _, started_ms = self._runs.pop(number)
        if outcome is not outcome_.Outcome.CANCELLED:
            run_ms = now_ms - started_ms
            self.usual_ms += _RUN_WEIGHT * (run_ms - self.usual_ms)
        self.in_use[target] -= 1
        if not self.in_use[target]:
            del self.in_use[target]
        return target, route

    def teams(self) -> collections.abc.Iterator[model.TeamId]:
        """Iterate over the team of each request."""
        return (team for _, _, team, _ in self._runs.values())

    def ages(
        self, now_ms: float
    ) -> list[tuple[model.TargetId, model.RouteId, float]]:
        """Return target, route and age of each request."""
        return [
            (target, route, now_ms - started_ms)
            for target, route, _, started_ms in self._runs.values()
        ]
