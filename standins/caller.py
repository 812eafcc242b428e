"""Stand-in for callers: keeps an address answer, retries as people do."""

import asyncio
import dataclasses
import hashlib
import json
import random
import time
import typing
import uuid

import httpx

# People press the button again after a pause, a few times.
_RETRY_PAUSE_S = 0.3
_MAX_TRIES = 4
_ORDER_ID_COUNT = 20
# Without a fresh id a caller would need a key of its own.
_ORDER_ID_TRIES = 20
# Issued ids are used while they are fresh.
_ORDER_ID_LIFETIME_S = 60.0


class KeyRefused(Exception):
    """A host refused the caller's key when asked for addresses."""


@dataclasses.dataclass(slots=True)
class Outcome:
    """What the caller got for one request, after its retries."""

    at_s: float
    team: str
    service: str
    status: int
    kind: str
    tries: int
    latency_ms: float
    is_own_answer: bool
    order_key: str = ""
    run: str = ""


class Caller:
    """One team's caller.

    ``contacts`` are addresses known beforehand, asked for the addresses to
    use; the answer is kept for its lifetime.
    """

    def __init__(
        self, team: str, key: str, contacts: list[str], seed: int
    ) -> None:
        self.team = team
        self.key = key
        self.outcomes: list[Outcome] = []
        self._contacts = contacts
        self._random = random.Random(f"{seed}/{team}")
        self._addresses: list[str] = []
        self._addresses_until_s = 0.0
        self._order_ids: list[str] = []
        self._order_ids_until_s = 0.0
        self._client = httpx.AsyncClient(
            timeout=15.0, limits=httpx.Limits(max_connections=200)
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._client.aclose()

    async def call(
        self, service: str, method: str, path: str, is_order: bool = False
    ) -> Outcome:
        """Send a request, retry while that is safe, and note the outcome."""
        started_s = time.monotonic()
        content_id = uuid.UUID(int=self._random.getrandbits(128)).hex
        body = f"{self.team}/{content_id}".encode()
        headers = {"Authorization": f"Bearer {self.key}"}
        outcome = Outcome(time.time(), self.team, service, 0, "", 0, 0, False)
        if is_order:
            outcome.order_key = await self._order_id() or content_id
            headers["Idempotency-Key"] = outcome.order_key
        for number in range(1, _MAX_TRIES + 1):
            outcome.tries = number
            pause_s = await self._try(outcome, method, path, headers, body)
            if pause_s is None:
                break
            await asyncio.sleep(pause_s)
        outcome.latency_ms = (time.monotonic() - started_s) * 1000
        self.outcomes.append(outcome)
        return outcome

    async def _try(
        self,
        outcome: Outcome,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
    ) -> float | None:
        """Try once; return the pause before the next try, or None."""
        content = body if method == "POST" else None
        try:
            base = await self._address()
            answer = await self._client.request(
                method, base + path, headers=headers, content=content
            )
        except KeyRefused:
            outcome.status = 401
            outcome.kind = "no_address"
            return None
        except httpx.HTTPError as error:
            self._addresses = []
            outcome.status = 0
            outcome.kind = type(error).__name__
            return _RETRY_PAUSE_S
        self._read(outcome, answer, body if content else b"")
        if answer.status_code in (429, 502, 503, 504):
            return self._pause_s(answer)
        return None

    async def _order_id(self) -> str | None:
        """Take an id that the fleet issued; None where none was issued."""
        if time.monotonic() >= self._order_ids_until_s:
            self._order_ids = []
        if not self._order_ids:
            await self._ask_order_ids()
        return self._order_ids.pop() if self._order_ids else None

    async def _ask_order_ids(self) -> None:
        path = f"/.pomeloward/order-ids?count={_ORDER_ID_COUNT}"
        for _ in range(_ORDER_ID_TRIES):
            try:
                answer = await self._client.post(
                    await self._address() + path,
                    headers={"Authorization": f"Bearer {self.key}"},
                    timeout=2.0,
                )
            except KeyRefused:
                return
            except httpx.HTTPError:
                self._addresses = []
                continue
            if answer.status_code == 200:
                self._order_ids = answer.json()["order_ids"]
                lifetime_s = _ORDER_ID_LIFETIME_S
                self._order_ids_until_s = time.monotonic() + lifetime_s
                return
            if answer.status_code in (401, 403):
                return
            await asyncio.sleep(_RETRY_PAUSE_S)

    def _read(
        self, outcome: Outcome, answer: httpx.Response, body: bytes
    ) -> None:
        outcome.status = answer.status_code
        outcome.kind = ""
        outcome.run = answer.headers.get("Pomeloward-Run", "")
        if answer.status_code == 200:
            digest = hashlib.sha256(body).hexdigest()
            try:
                found = json.loads(
                    answer.content[:4_096].split(b"}")[0] + b"}"
                )
            except ValueError:
                found = {}
            outcome.is_own_answer = found.get("body_sha256") == digest
        else:
            outcome.kind = _kind_of(answer)

    def _pause_s(self, answer: httpx.Response) -> float:
        if answer.status_code != 429:
            self._addresses_until_s = 0.0
        try:
            asked_s = float(answer.headers.get("Retry-After", "0"))
        except ValueError:
            asked_s = 0.0
        return min(2.0, max(_RETRY_PAUSE_S, asked_s))

    async def _address(self) -> str:
        if time.monotonic() >= self._addresses_until_s or not self._addresses:
            await self._ask_addresses()
        return self._random.choice(self._addresses)

    async def _ask_addresses(self) -> None:
        for contact in self._random.sample(
            self._contacts, len(self._contacts)
        ):
            try:
                answer = await self._client.get(
                    contact + "/.pomeloward/addresses",
                    headers={"Authorization": f"Bearer {self.key}"},
                    timeout=2.0,
                )
            except httpx.HTTPError:
                continue
            if answer.status_code == 200:
                self._keep(answer.json())
                return
            if answer.status_code == 401:
                raise KeyRefused
        raise httpx.ConnectError("no address answered")

    def _keep(self, answer: dict[str, typing.Any]) -> None:
        self._addresses = [
            f"http://{row['address']}:{row['port']}"
            for row in answer["addresses"]
        ]
        lifetime_s = answer["lifetime_ms"] / 1000
        self._addresses_until_s = time.monotonic() + lifetime_s


def _kind_of(answer: httpx.Response) -> str:
    try:
        return str(answer.json()["kind"])
    except (ValueError, KeyError, TypeError):
        return "no_kind"
