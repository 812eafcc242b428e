"""Claims orders and gets order ids for this host."""

import collections.abc
import random
import secrets

import anyio
import anyio.abc
import expression

from pomeloward import catalog
from pomeloward import model
from pomeloward import ownership
from pomeloward.orders import attempt
from pomeloward.orders import caller
from pomeloward.orders import claim as claims
from pomeloward.orders import messages
from pomeloward.orders import orderid
from pomeloward.orders import orderscope
from pomeloward.orders import pauseguard
from pomeloward.orders import shell

_FIRST_PAUSE_MS = 20.0
_MAX_PAUSE_MS = 400.0
_RETRY_MS = 1_000.0
_CLEAR_MS = 500.0
_ISSUE_TRIES = 4
_TICK_MS = 1_000.0

_KINDS = {
    messages.Verdict.CONFLICT: (
        model.ErrorKind.ORDER_CONFLICT,
        "The key was used for another request.",
    ),
    messages.Verdict.UNKNOWN: (
        model.ErrorKind.ORDER_UNKNOWN,
        "Whether the order ran is not known and will stay so.",
    ),
    messages.Verdict.FULL: (
        model.ErrorKind.NO_CAPACITY,
        "The team has too many recent orders.",
    ),
}
_UNAVAILABLE = model.Refusal(
    model.ErrorKind.ORDER_OWNER_UNAVAILABLE,
    "The order is still running or its owner cannot be asked.",
    _RETRY_MS,
)
_PAUSED = model.Refusal(
    model.ErrorKind.HOST_STARTING,
    "The host was paused; the request may have waited for too long.",
    _RETRY_MS,
)


class OrderClient:
    """Makes non-idempotent requests run at most once."""

    def __init__(
        self,
        host: model.HostId,
        region: model.RegionId,
        view: collections.abc.Callable[[], catalog.View],
        questions: caller.OrderCaller,
        ids: orderid.OrderIds,
        rng: random.Random,
    ) -> None:
        """Create a client; ``run`` repeats reports that failed."""
        self._host = host
        self._region = region
        self._view = view
        self._questions = questions
        self._ids = ids
        self._rng = rng
        self._guard = pauseguard.PauseGuard()
        self._group: anyio.abc.TaskGroup | None = None

    async def run(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Repeat reports of outcomes in the background until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            task_status.started()
            while True:
                await anyio.sleep(_TICK_MS / 1000)
                self._guard.tick(shell.now_ms())

    async def issue(
        self, team: model.TeamId, count: int
    ) -> expression.Result[list[str], model.Refusal]:
        """Get ids for orders that are to come."""
        region = self._view().region(self._region)
        for _ in range(_ISSUE_TRIES if region else 0):
            assert region is not None
            number = self._rng.randrange(region.partitions)
            partition = ownership.make_partition(region.id, number)
            owner = self._questions.owner_of(partition, None)
            if owner is None:
                continue
            question = messages.IssueIds(
                partition=partition, team=team, count=count
            )
            ids = await self._questions.issue(owner, question)
            if ids:
                return expression.Ok(list(ids))
        return expression.Error(
            model.Refusal(
                model.ErrorKind.NO_CAPACITY,
                "No owner could issue order ids.",
                _RETRY_MS,
            )
        )

    async def claim(
        self,
        team: model.TeamId,
        route: model.RouteId,
        key: str,
        body_digest: bytes,
    ) -> expression.Result[claims.Claim, model.Refusal]:
        """Claim an order under its idempotency key.

        Waits for a running attempt of the same order. An attempt that is
        given up here was not dispatched, so its claim is cleared.
        """
        made = orderscope.make_order(
            self._view(), self._ids, team, route, key, body_digest
        )
        if made.is_error():
            return expression.Error(made.error)
        is_fresh = self._guard.is_fresh(shell.now_ms())
        if made.ok.issued is None and not is_fresh:
            return expression.Error(_PAUSED)
        # Two attempts with one number would share a permit, so it must not
        # depend on a seed.
        number = secrets.randbits(62)
        trying = attempt.Attempt(
            made.ok, number, self._questions, self._locate, self._spawn
        )
        claimed: claims.Claim | None = None
        try:
            result = await self._repeat(trying)
            claimed = result.ok if result.is_ok() else None
            return result
        finally:
            if claimed is None and trying.may_be_claimed:
                with anyio.move_on_after(_CLEAR_MS / 1000, shield=True):
                    await trying.settle(messages.Outcome.CLEARED, None)

    async def _repeat(
        self, trying: attempt.Attempt
    ) -> expression.Result[claims.Claim, model.Refusal]:
        pause_ms = _FIRST_PAUSE_MS
        while trying.is_timely():
            answer = await trying.ask()
            if isinstance(answer, claims.Claim):
                return expression.Ok(answer)
            if answer is not None and answer.verdict in _KINDS:
                kind, detail = _KINDS[answer.verdict]
                return expression.Error(model.Refusal(kind, detail))
            await anyio.sleep(pause_ms * (0.5 + self._rng.random()) / 1000)
            pause_ms = min(_MAX_PAUSE_MS, 2 * pause_ms)
        return expression.Error(_UNAVAILABLE)

    def _locate(self, partition: model.PartitionId) -> model.HostId | None:
        region, _ = ownership.split_partition(partition)
        if region == self._region:
            return self._questions.owner_of(partition, None)
        # Any host of another region tells the owner.
        hosts = sorted(
            host.id for host in self._view().hosts() if host.region == region
        )
        if not hosts:
            return None
        fallback = hosts[self._rng.randrange(len(hosts))]
        return self._questions.owner_of(partition, fallback)

    def _spawn(
        self,
        task: attempt.Task,
    ) -> None:
        if self._group is not None:
            self._group.start_soon(task)
