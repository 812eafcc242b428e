"""The load of a cell: reads, orders, downloads, floods, wrong requests."""

import collections
import collections.abc
import random

import anyio
import msgspec

from bench.matrix import host as hosts
from bench.matrix import plan
from bench.matrix import seen
from bench.matrix import steps
from bench.matrix import world as worlds
from pomeloward import model

_LOOKUP_S = 1.0
_MARKER_LOOKUP_S = 0.5
_ORDER_TRIES = 4
_STOP_AFTER_S = 0.2
# One entry of each list is one caller: kind, team, key and requests/s.
_STREAMS = (
    ("items", "big", plan.KEYS["big"], 12.0, True),
    ("private", "big", plan.KEYS["big"], 1.0, True),
    ("items", "flood", plan.KEYS["flood"], 12.0, True),
    ("items", "leaver", plan.KEYS["leaver"], 4.0, True),
    ("items/download=1", "leaver", plan.KEYS["leaver"], 1.0, True),
    ("items/download=1", "big", plan.KEYS["big"], 1.5, True),
    ("open", "", "", 2.0, True),
    ("items", "", "", 0.5, False),
    ("items", "", "a-key-that-nobody-has", 0.5, False),
    ("private", "leaver", plan.KEYS["leaver"], 0.5, False),
)


class Traffic:
    """Sends the load until it is told to stop."""

    def __init__(self, world: worlds.World, rng: random.Random) -> None:
        self._world = world
        self._rng = rng
        self._known: dict[str, list[model.HostId]] = {}
        self._order_ids: collections.deque[str] = collections.deque()
        self.is_stopped = False

    async def run(self) -> None:
        """Send all streams."""
        async with anyio.create_task_group() as tasks:
            for stream in _STREAMS:
                tasks.start_soon(self._stream, *stream)
            for team in ("big", "leaver", ""):
                tasks.start_soon(self._look_up, team)
            tasks.start_soon(self._orders)
            tasks.start_soon(self._look_up_markers)

    async def wave(self, count: int) -> None:
        """Send slow reads at once to two hosts, so that queues form."""
        chosen = self._rng.sample(self._world.live(), 2)
        async with anyio.create_task_group() as tasks:
            for number in range(count):
                host = chosen[number % len(chosen)]
                tasks.start_soon(self._one, host, "items/slow=1", "big")
                await anyio.sleep(0.002)

    async def stop(self, name: model.HostId) -> None:
        """Stop a host as planned, while it serves a long download."""
        host = self._world.hosts[name]
        self._world.tasks.start_soon(
            self._one, host, "items/download=1", "big"
        )
        await anyio.sleep(_STOP_AFTER_S)
        self._world.stop_host(name)

    async def _one(self, host: hosts.Host, kind: str, team: str) -> None:
        caller = self._world.caller
        call = caller.call(host, kind, team, plan.KEYS[team])
        await caller.send(host, call)

    async def _stream(
        self, kind: str, team: str, key: str, per_s: float, is_allowed: bool
    ) -> None:
        caller = self._world.caller
        async with anyio.create_task_group() as tasks:
            while not self.is_stopped:
                await anyio.sleep(self._rng.expovariate(per_s))
                host = self._choose(team)
                call = caller.call(
                    host, kind, team, key, is_allowed=is_allowed
                )
                tasks.start_soon(caller.send, host, call)

    async def _orders(self) -> None:
        async with anyio.create_task_group() as tasks:
            while not self.is_stopped:
                await anyio.sleep(self._rng.expovariate(3.0))
                if not self._order_ids:
                    await self._fetch_ids()
                else:
                    tasks.start_soon(self._order, self._order_ids.popleft())

    async def _order(self, order: str) -> None:
        """Place an order, and repeat it elsewhere until it is answered."""
        caller = self._world.caller
        marker = ""
        for _ in range(_ORDER_TRIES):
            host = self._choose("big")
            call = caller.call(
                host,
                "orders",
                "big",
                plan.KEYS["big"],
                marker=marker,
                order=order,
            )
            marker = call.marker
            await caller.send(host, call)
            if call.status == 200 and call.is_complete:
                return
            await anyio.sleep(0.5)

    async def _fetch_ids(self) -> None:
        key = plan.KEYS["big"]
        host = self._choose("big")
        name = "order-ids?count=20"
        call = await self._world.caller.ask(host, "POST", name, key)
        if call.status == 200 and call.is_complete:
            found = msgspec.json.decode(call.body)["order_ids"]
            self._order_ids.extend(found)

    async def _look_up(self, team: str) -> None:
        key = plan.KEYS[team] if team else ""
        while not self.is_stopped:
            host = self._rng.choice(self._world.live())
            self._world.steps.reach(steps.Step.ADDRESS)
            call = await self._world.caller.ask(host, "GET", "addresses", key)
            if call.status == 200 and call.is_complete:
                self._note_addresses(team, host.name, call.body)
            await anyio.sleep(_LOOKUP_S)

    def _note_addresses(
        self, team: str, host: model.HostId, body: bytes
    ) -> None:
        rows = msgspec.json.decode(body)["addresses"]
        named = tuple(row["address"] for row in rows)
        by_address = {plan.address_of(name): name for name in plan.HOSTS}
        self._known[team] = [by_address[address] for address in named]
        self._world.seen.addresses.append((anyio.current_time(), host, named))

    async def _look_up_markers(self) -> None:
        """Ask every host for addresses with the key of each version."""
        while not self.is_stopped:
            async with anyio.create_task_group() as tasks:
                for host in self._world.live():
                    for published in list(self._world.seen.published):
                        tasks.start_soon(
                            self._look_up_marker, host, published.marker_key
                        )
            await anyio.sleep(_MARKER_LOOKUP_S)

    async def _look_up_marker(self, host: hosts.Host, key: str) -> None:
        with anyio.move_on_after(2.0):
            call = await self._world.caller.ask(host, "GET", "addresses", key)
            if call.is_complete:
                self._world.seen.lookups.append(
                    seen.Lookup(
                        anyio.current_time(),
                        host.name,
                        host.incarnation,
                        key,
                        call.status,
                    )
                )

    def _choose(self, team: str) -> hosts.Host:
        """Choose one of the named hosts, or any if none is up."""
        known = [
            self._world.hosts[name]
            for name in self._known.get(team, ())
            if self._world.hosts[name].is_up
        ]
        return self._rng.choice(known or self._world.live())
