"""Wrappers around parts of a host that show which step is reached."""

import collections.abc
import functools
import random
import secrets
import typing

import anyio
import anyio.lowlevel

from bench.matrix import pauses
from bench.matrix import seen
from bench.matrix import steps
from pomeloward import budget
from pomeloward import entry
from pomeloward import orders
from pomeloward import queue
from pomeloward.gateway import gateway
from pomeloward.service import targetrecord

_Function = collections.abc.Callable[..., typing.Any]


class Watched:
    """The steps and the record of the cell that runs now."""

    steps = steps.Steps()
    rng = random.Random(0)  # noqa: S311
    record = seen.Seen()


def install() -> None:
    """Wrap the parts once for this process."""
    if hasattr(queue.Admission.acquire, "__wrapped__"):
        return
    _wrap(entry.Gatekeeper, "decide", _noting(steps.Step.KEY))
    _wrap(orders.OrderClient, "claim", _waiting(steps.Step.CLAIM))
    _wrap(budget.BudgetClient, "take", _waiting(steps.Step.RATE))
    _wrap(queue.Admission, "acquire", _queueing)
    _wrap(targetrecord.TargetRecord, "eject", _noting(steps.Step.EJECTION))
    _wrap(targetrecord.TargetRecord, "ramp", _noting(steps.Step.RAMP))
    # Request ids differ from run to run otherwise.
    secrets.token_hex = _token_hex
    # A freeze would keep the objects of every finished cell.
    gateway._quiet_collector = lambda: None


def _token_hex(nbytes: int | None = None) -> str:
    return Watched.rng.randbytes(nbytes or 8).hex()


def _wrap(
    owner: type,
    name: str,
    wrapper: collections.abc.Callable[[_Function], _Function],
) -> None:
    function = getattr(owner, name)
    setattr(owner, name, functools.wraps(function)(wrapper(function)))


def _noting(
    step: steps.Step,
) -> collections.abc.Callable[[_Function], _Function]:
    def wrapper(function: _Function) -> _Function:
        def wrapped(*args: typing.Any, **named: typing.Any) -> typing.Any:
            Watched.steps.reach(step)
            return function(*args, **named)

        return wrapped

    return wrapper


def _waiting(
    step: steps.Step,
) -> collections.abc.Callable[[_Function], _Function]:
    def wrapper(function: _Function) -> _Function:
        async def wrapped(
            *args: typing.Any, **named: typing.Any
        ) -> typing.Any:
            Watched.steps.reach(step)
            await anyio.lowlevel.checkpoint()
            return await function(*args, **named)

        return wrapped

    return wrapper


def _queueing(function: _Function) -> _Function:
    async def wrapped(
        self: queue.Admission, ticket: queue.Ticket
    ) -> typing.Any:
        Watched.steps.reach(steps.Step.QUEUE)
        entered_ms = anyio.current_time() * 1_000
        has_avoided = bool(ticket.avoid)
        has_slot = False
        try:
            result = await function(self, ticket)
            has_slot = result.is_ok()
            return result
        finally:
            gate = pauses.HOST.get()
            if gate is not None:
                Watched.record.turns.append(
                    seen.Turn(
                        gate.host,
                        ticket.team,
                        ticket.is_deferrable,
                        ticket.service,
                        ticket.arrived_ms,
                        entered_ms,
                        anyio.current_time() * 1_000,
                        has_slot,
                        has_avoided or bool(ticket.avoid),
                    )
                )

    return wrapped
