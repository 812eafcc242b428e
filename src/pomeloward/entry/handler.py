"""Runs one HTTP request through the steps of a host."""

import anyio

from pomeloward import dispatch
from pomeloward import model
from pomeloward import settings
from pomeloward.entry import body as bodies
from pomeloward.entry import callerrequest
from pomeloward.entry import delivery
from pomeloward.entry import exchange as exchanges
from pomeloward.entry import gatekeeper as gatekeepers
from pomeloward.entry import grant as grants
from pomeloward.entry import openwork
from pomeloward.entry import orderhandler
from pomeloward.entry import recorder as recorders
from pomeloward.entry import steps
from pomeloward.entry import targetrequests

# Refusals of this host that another host may serve.
_ELSEWHERE = frozenset(
    {
        model.ErrorKind.CONNECTION_LIMIT,
        model.ErrorKind.HOST_DRAINING,
        model.ErrorKind.HOST_ISOLATED,
        model.ErrorKind.HOST_STARTING,
    }
)


class Handler:
    """The steps of a request in their order.

    Key and route, order claim, rate, queue and slot with dispatch, and the
    record of how it ended.
    """

    def __init__(
        self,
        gatekeeper: gatekeepers.Gatekeeper,
        orders: orderhandler.OrderHandler,
        budget: steps.Budget,
        dispatcher: dispatch.Dispatcher,
        open_work: openwork.OpenWork,
        recorder: recorders.Recorder,
        book: steps.AddressBook,
        limits: settings.Limits,
    ) -> None:
        self._gatekeeper = gatekeeper
        self._orders = orders
        self._budget = budget
        self._dispatcher = dispatcher
        self._open_work = open_work
        self._recorder = recorder
        self._book = book
        self._limits = limits

    async def handle(
        self,
        request: callerrequest.CallerRequest,
        exchange: exchanges.Exchange,
        now_ms: float,
    ) -> None:
        """Serve a request that has passed its checks of form."""
        granted = self._gatekeeper.decide(
            request, len(self._open_work), now_ms
        )
        if granted.is_error():
            await self._refuse(exchange, granted.error)
            return
        body = bodies.RequestBody(
            exchange.receive,
            self._limits.body_bytes,
            self._limits.replay_bytes,
        )
        work = await self._run_watched(
            request, granted.ok, body, exchange, now_ms
        )
        if work.ended_by is not None and not exchange.is_complete:
            await self._end(work, exchange)

    async def _run_watched(
        self,
        request: callerrequest.CallerRequest,
        grant: grants.Grant,
        body: bodies.RequestBody,
        exchange: exchanges.Exchange,
        now_ms: float,
    ) -> openwork.Work:
        """Run a request until it ends or its work is ended from outside."""

        async def watch(work: openwork.Work) -> None:
            await _watch(request, body, exchange, work)

        with anyio.CancelScope() as scope:
            work = self._open_work.add(request.id, grant, scope, watch)
            try:
                await self._run(request, work, body, exchange, now_ms)
            except bodies.CallerGone:
                work.end(model.ErrorKind.CALLER_GONE)
            except bodies.BodyTooLarge as error:
                work.end(model.ErrorKind.BODY_TOO_LARGE)
                self._recorder.decision("body_too_large", str(error))
            except dispatch.AnswerCut as error:
                work.end(model.ErrorKind.TARGET_FAILED)
                self._recorder.decision(
                    "answer_cut", str(error), request.id, grant.team
                )
            finally:
                self._open_work.remove(work)
        return work

    async def _run(
        self,
        request: callerrequest.CallerRequest,
        work: openwork.Work,
        body: bodies.RequestBody,
        exchange: exchanges.Exchange,
        now_ms: float,
    ) -> None:
        grant = work.grant
        if request.has_body and request.content_length is None:
            # Only now is it known whether an HTTP/2 request has a body.
            await body.read_if_at_hand()
            request.has_body = not body.is_empty
        outgoing = targetrequests.build(
            request, grant, body, now_ms, work.evidence
        )
        if not grant.route.is_idempotent:
            await self._run_order(request, work, outgoing, body, exchange)
            return
        refusal = await self._take_rate(grant.team)
        if refusal is not None:
            await self._refuse(exchange, refusal, grant)
            return
        result = await self._dispatcher.send(outgoing)
        body.stop()
        if result.is_error():
            await self._refuse(exchange, result.error.refusal, grant)
            return
        answer = result.ok
        self._recorder.answered(
            request.id,
            grant.route,
            grant.team,
            answer.target,
            answer.status,
            anyio.current_time() * 1_000 - now_ms,
        )
        await delivery.deliver(answer, exchange)

    async def _run_order(
        self,
        request: callerrequest.CallerRequest,
        work: openwork.Work,
        outgoing: dispatch.TargetRequest,
        body: bodies.RequestBody,
        exchange: exchanges.Exchange,
    ) -> None:
        started_ms = anyio.current_time() * 1_000
        grant = work.grant
        result = await self._orders.run(request, outgoing, body)
        if result.is_error():
            await self._refuse(exchange, result.error, grant)
            return
        answer = result.ok
        self._recorder.answered(
            request.id,
            grant.route,
            grant.team,
            None,
            answer.status,
            anyio.current_time() * 1_000 - started_ms,
        )
        await exchange.start(answer.status, list(answer.headers))
        await exchange.finish(answer.body)

    async def _take_rate(self, team: model.TeamId) -> model.Refusal | None:
        if team == grants.NO_TEAM:
            return None
        taken = await self._budget.take(team)
        return taken.error if taken.is_error() else None

    async def _refuse(
        self,
        exchange: exchanges.Exchange,
        refusal: model.Refusal,
        grant: grants.Grant | None = None,
    ) -> None:
        team = grant.team if grant else None
        service = grant.route.service if grant else None
        self._recorder.refused(refusal, exchange.request, team, service)
        headers = []
        if refusal.kind in _ELSEWHERE:
            now_ms = anyio.current_time() * 1_000
            answer = self._book.answer(team, now_ms)
            rows = ", ".join(f"{a.address}:{a.port}" for a in answer.addresses)
            headers.append((b"pomeloward-addresses", rows.encode("ascii")))
        await exchange.refuse(refusal, headers)

    async def _end(
        self, work: openwork.Work, exchange: exchanges.Exchange
    ) -> None:
        """Answer work that was ended from outside, or abort its answer."""
        assert work.ended_by is not None
        refusal = model.Refusal(
            work.ended_by, f"the request was ended: {work.ended_by.value}"
        )
        service = work.grant.route.service
        self._recorder.refused(refusal, work.request, work.grant.team, service)
        if exchange.is_started:
            await exchange.abort()
        elif work.ended_by is not model.ErrorKind.CALLER_GONE:
            # A refusal that another one would call `not run` may come after
            # the request was sent.
            may_have_run = work.evidence.proof is None
            await exchange.refuse(refusal, may_have_run=may_have_run)


async def _watch(
    request: callerrequest.CallerRequest,
    body: bodies.RequestBody,
    exchange: exchanges.Exchange,
    work: openwork.Work,
) -> None:
    """End the work when its caller leaves."""
    if request.has_body:
        await body.ended.wait()
    while True:
        message = await exchange.receive()
        if message["type"] == "http.disconnect":
            work.end(model.ErrorKind.CALLER_GONE)
            return
