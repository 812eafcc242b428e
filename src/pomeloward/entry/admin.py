"""Endpoints of the host itself under ``/.pomeloward/``."""

import collections.abc
import typing
import urllib.parse

import anyio
import msgspec

from pomeloward import model
from pomeloward import observability
from pomeloward.entry import callerrequest
from pomeloward.entry import exchange as exchanges
from pomeloward.entry import grant as grants
from pomeloward.entry import steps

PREFIX = "/.pomeloward/"
_JSON = b"application/json"
_TEXT = b"text/plain; version=0.0.4"
_MAX_ISSUED = 100


class Admin:
    """Answers questions about the host, its addresses and decisions."""

    def __init__(
        self,
        host: steps.HostStatus,
        book: steps.AddressBook,
        orders: steps.Orders,
        metrics: observability.Metrics,
        journal: observability.DecisionJournal,
        sample: collections.abc.Callable[[], observability.OutcomeSample],
    ) -> None:
        self._host = host
        self._sample = sample
        self._book = book
        self._orders = orders
        self._metrics = metrics
        self._journal = journal

    async def handle(
        self,
        request: callerrequest.CallerRequest,
        exchange: exchanges.Exchange,
    ) -> None:
        """Answer a request under the prefix."""
        name, _, rest = request.path.removeprefix(PREFIX).partition("/")
        if name == "health":
            await _json(exchange, 200, {"state": self._host.state.value})
        elif name == "ready":
            await self._ready(exchange)
        elif name == "metrics":
            text = self._metrics.prometheus_text().encode("utf-8")
            await exchange.reply(200, _TEXT, text)
        elif name == "addresses":
            await self._addresses(request, exchange)
        elif name == "order-ids" and request.method == "POST":
            await self._order_ids(request, exchange)
        elif name == "explain" and rest:
            await self._explain(rest, exchange)
        elif name == "histograms":
            await _json(exchange, 200, self._sample())
        elif name == "status":
            await _json(exchange, 200, self._host.details())
        else:
            await exchange.refuse(
                model.Refusal(
                    model.ErrorKind.ROUTE_UNKNOWN, "no such endpoint"
                )
            )

    async def _ready(self, exchange: exchanges.Exchange) -> None:
        state = self._host.state
        now_ms = anyio.current_time() * 1_000
        has_standing = self._host.has_standing(now_ms)
        is_ready = state is model.HostState.READY and has_standing
        await _json(
            exchange,
            200 if is_ready else 503,
            {"state": state.value, "has_standing": has_standing},
        )

    async def _addresses(
        self,
        request: callerrequest.CallerRequest,
        exchange: exchanges.Exchange,
    ) -> None:
        """Answer for the team of the key, or for open routes without one."""
        team: model.TeamId | None = None
        if request.digests:
            found = grants.team_of(self._host.view, request)
            if found.is_error():
                await exchange.refuse(found.error)
                return
            team = found.ok
        answer = self._book.answer(team, anyio.current_time() * 1_000)
        await _json(
            exchange,
            200,
            {
                "addresses": [
                    {"address": row.address, "port": row.port}
                    for row in answer.addresses
                ],
                "lifetime_ms": answer.lifetime_ms,
            },
        )

    async def _order_ids(
        self,
        request: callerrequest.CallerRequest,
        exchange: exchanges.Exchange,
    ) -> None:
        found = grants.team_of(self._host.view, request)
        if found.is_error():
            await exchange.refuse(found.error)
            return
        count = _count(request.target_path)
        if count is None:
            await exchange.refuse(
                model.Refusal(
                    model.ErrorKind.BAD_REQUEST,
                    f"count must be 1 to {_MAX_ISSUED}",
                )
            )
            return
        issued = await self._orders.issue(found.ok, count)
        if issued.is_error():
            await exchange.refuse(issued.error)
            return
        await _json(exchange, 200, {"order_ids": issued.ok})

    async def _explain(self, name: str, exchange: exchanges.Exchange) -> None:
        """Answer the decisions about a request, target or team."""
        decisions = (
            self._journal.decisions_about_request(model.RequestId(name))
            or self._journal.decisions_about_target(model.TargetId(name))
            or self._journal.decisions_about_team(model.TeamId(name))
        )
        await _json(
            exchange,
            200 if decisions else 404,
            {
                "request_id": name,
                "host": self._host.details()["host"],
                "version": self._host.view.version,
                "decisions": decisions,
            },
        )


async def _json(
    exchange: exchanges.Exchange, status: int, value: typing.Any
) -> None:
    await exchange.reply(status, _JSON, msgspec.json.encode(value))


def _count(target_path: bytes) -> int | None:
    query = target_path.partition(b"?")[2].decode("ascii")
    text = urllib.parse.parse_qs(query).get("count", ["1"])[0]
    if not text.isdigit() or len(text) > 3:
        return None
    count = int(text)
    return count if 1 <= count <= _MAX_ISSUED else None
