"""Token buckets of teams for a host that works by itself."""

import collections.abc

import anyio
import expression

from pomeloward import catalog
from pomeloward import model


class LocalBudget:
    """One token bucket per team."""

    def __init__(
        self, view: collections.abc.Callable[[], catalog.View]
    ) -> None:
        self._view = view
        self._levels: dict[model.TeamId, tuple[float, float]] = {}

    async def take(
        self, team: model.TeamId
    ) -> expression.Result[None, model.Refusal]:
        """Take one token of a team's rate."""
        record = self._view().team(team)
        if record is None:
            return expression.Error(
                model.Refusal(model.ErrorKind.KEY_UNKNOWN, "no such team")
            )
        now_s = anyio.current_time()
        level, filled_at_s = self._levels.get(
            team, (record.burst_requests, now_s)
        )
        level += (now_s - filled_at_s) * record.rate_per_s
        level = min(record.burst_requests, level)
        if level < 1:
            self._levels[team] = (level, now_s)
            wait_ms = (1 - level) / max(record.rate_per_s, 1e-9) * 1_000
            return expression.Error(
                model.Refusal(
                    model.ErrorKind.RATE_EXCEEDED,
                    "the team's rate is used up",
                    retry_after_ms=wait_ms,
                )
            )
        self._levels[team] = (level - 1, now_s)
        return expression.Ok(None)
