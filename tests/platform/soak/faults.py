"""The faults of a seed: in series, overlapping, each with its end."""

import signal

import anyio

from tests.platform import server as servers
from tests.platform.soak import proxy
from tests.platform.soak import world as worlds

_BEHAVIOURS = (
    servers.hang,
    servers.fail,
    servers.shed,
    servers.lie,
    servers.cut_short,
    servers.answer_twice,
    servers.stutter,
    servers.unsigned,
)
_MODES = (
    proxy.Mode.DELAY,
    proxy.Mode.SILENT,
    proxy.Mode.ONE_WAY,
    proxy.Mode.RESET,
)


class Faults:
    """Draws faults by the seed and ends each of them."""

    def __init__(self, world, plant):
        self._world = world
        self._rng = world.rng
        self._faulty = set()
        self._is_cutting = False
        self._kinds = [
            self._server,
            self._server,
            self._link,
            self._link,
            self._store_link,
            self._store_away,
            self._kill,
            self._pause,
            self._stop,
            self._key,
            self._drain,
            self._zone,
            self._route,
            self._limit,
            self._restore,
            self._leave,
            self._ask_for_pause,
            self._send_deadly,
            self._cut_from_servers,
        ]
        if plant != "none":
            # The bounds hold for undisturbed hosts, so that a plant needs
            # some time without disturbances to show.
            self._kinds = [
                self._server,
                self._key,
                self._drain,
                self._route,
            ]
        if plant == "limit":
            self._kinds.append(self._limit)
        if plant == "era":
            self._kinds.extend([self._restore, self._key, self._key])
        if plant == "leaving":
            self._kinds.append(self._leave)
        if plant == "pause":
            self._kinds.append(self._ask_for_pause)
        if plant == "deadly":
            self._kinds.append(self._send_deadly)
        if plant == "path":
            self._kinds = [self._cut_from_servers]

    async def run(self, duration_s):
        """Begin faults for a while; returns when all have ended."""
        end_s = anyio.current_time() + duration_s
        async with anyio.create_task_group() as tasks:
            while anyio.current_time() < end_s:
                tasks.start_soon(self._rng.choice(self._kinds))
                await anyio.sleep(self._rng.uniform(0.2, 1.2))

    async def _server(self):
        name = self._rng.choice(list(self._world.servers))
        if name in self._world.limits or name in self._faulty:
            return
        self._faulty.add(name)
        self._world.set_behaviour(name, self._rng.choice(_BEHAVIOURS))
        await anyio.sleep(self._rng.uniform(0.5, 3.0))
        self._world.set_behaviour(name, servers.answer)
        self._faulty.discard(name)

    async def _limit(self):
        """Let a server name a rate limit, without any other fault of it."""
        world = self._world
        name = self._rng.choice(list(world.servers))
        if name in world.limits or name in self._faulty:
            return
        limit_per_s = self._rng.choice((1.0, 2.5, 6.0))
        limited = [name, limit_per_s, anyio.current_time(), float("inf")]
        world.limits[name] = limit_per_s
        world.record.limits.append(limited)
        world.set_behaviour(name, servers.limited(limit_per_s))
        await anyio.sleep(self._rng.uniform(6.0, 9.0))
        limited[3] = anyio.current_time()
        del world.limits[name]
        world.set_behaviour(name, servers.answer)

    async def _leave(self):
        """Let a server say that it is leaving, and start it anew later.

        The store goes on saying that it is ready.
        """
        world = self._world
        name = self._choose_calm()
        if name is None:
            return
        left = [name, anyio.current_time(), float("inf")]
        world.record.leaving.append(left)
        world.set_behaviour(name, servers.leaving)
        await anyio.sleep(self._rng.uniform(4.0, 6.0))
        left[2] = anyio.current_time()
        world.set_behaviour(name, servers.answer)
        world.restart_server(name)
        self._faulty.discard(name)

    async def _ask_for_pause(self):
        """Let a server refuse all requests and say for how long."""
        world = self._world
        name = self._choose_calm()
        if name is None:
            return
        pause_s = self._rng.uniform(1.5, 3.0)
        paused = [name, pause_s, anyio.current_time()]
        world.record.pauses.append(paused)
        is_marked = self._rng.random() < 0.5
        world.set_behaviour(name, servers.pausing(f"{pause_s:.2f}", is_marked))
        await anyio.sleep(2 * pause_s)
        paused.append(anyio.current_time())
        world.set_behaviour(name, servers.answer)
        self._faulty.discard(name)

    async def _send_deadly(self):
        """Send one request that crashes its servers, to all hosts in turn."""
        path = f"/safe/deadly-{self._rng.randrange(10**9)}"
        for _ in range(self._rng.randint(10, 20)):
            address = self._rng.choice(list(self._world.hosts.values()))
            await self._world.send_deadly(address, path)
            await anyio.sleep(self._rng.uniform(0.1, 0.5))

    async def _cut_from_servers(self):
        """Cut hosts off from all servers, while callers reach them."""
        world = self._world
        if self._is_cutting:
            return
        self._is_cutting = True
        names = self._rng.sample(list(world.hosts), self._rng.randint(1, 3))
        cut = [
            {world.hosts[name] for name in names},
            anyio.current_time(),
            float("inf"),
        ]
        world.record.cuts.append(cut)
        lasts_s = self._rng.uniform(4.5, 7.0)
        with world.cut_from_servers(names):
            await world.call_all_hosts(lasts_s)
            cut[2] = anyio.current_time()
        self._is_cutting = False

    def _choose_calm(self):
        """Return a server without a fault, None if the drawn one has any."""
        world = self._world
        name = self._rng.choice(list(world.servers))
        if (
            name in self._faulty
            or name in world.limits
            or name in world.record.draining
        ):
            return None
        self._faulty.add(name)
        return name

    async def _restore(self):
        """Let the store go back to a copy; then all is written again."""
        world = self._world
        if world.store.copy is not None:
            return
        world.store.keep_copy()
        await anyio.sleep(self._rng.uniform(1.0, 4.0))
        lasts_s = self._rng.uniform(0.3, 2.0)
        now_s = anyio.current_time()
        world.record.disturb("*", now_s, now_s + lasts_s)
        world.store.is_away = True
        world.store.restore()
        await anyio.sleep(lasts_s)
        world.store.is_away = False
        world.write_again()
        world.store.copy = None

    async def _link(self):
        name = self._rng.choice(list(self._world.proxies))
        if name in self._world.limits:
            return
        link = self._world.proxies[name]
        link.set(self._rng.choice(_MODES))
        await anyio.sleep(self._rng.uniform(0.5, 3.0))
        link.set(proxy.Mode.OPEN)

    async def _store_link(self):
        now_s = anyio.current_time()
        lasts_s = self._rng.uniform(0.5, 3.0)
        self._world.record.disturb("*", now_s, now_s + lasts_s)
        self._world.store_proxy.set(self._rng.choice(_MODES))
        await anyio.sleep(lasts_s)
        self._world.store_proxy.set(proxy.Mode.OPEN)

    async def _store_away(self):
        now_s = anyio.current_time()
        lasts_s = self._rng.uniform(0.3, 2.0)
        self._world.record.disturb("*", now_s, now_s + lasts_s)
        self._world.store.is_away = True
        await anyio.sleep(lasts_s)
        self._world.store.compact()
        self._world.store.is_away = False

    async def _kill(self):
        name = self._disturb(lasts_s := self._rng.uniform(0.2, 1.5), 2.0)
        if name in self._world.processes:
            self._world.end(name)
            await anyio.sleep(lasts_s)
            self._world.start(name)

    async def _pause(self):
        name = self._disturb(lasts_s := self._rng.uniform(0.3, 3.0))
        self._world.signal(name, signal.SIGSTOP)
        await anyio.sleep(lasts_s)
        self._world.signal(name, signal.SIGCONT)

    async def _stop(self):
        name = self._disturb(6.5, 2.0)
        process = self._world.processes.get(name)
        self._world.signal(name, signal.SIGTERM)
        await anyio.sleep(6.2)
        if process is self._world.processes.get(name) and process:
            self._world.end(name)
            self._world.start(name)

    async def _key(self):
        if len(self._world.keys) > 3:
            key = self._world.keys.pop()
            self._world.publish()
            self._world.record.withdrawn[key] = anyio.current_time()

    async def _drain(self):
        world = self._world
        ready = [n for n in world.servers if n not in world.record.draining]
        if len(ready) < 5:
            return
        name = self._rng.choice(ready)
        world.store.put(f"servers/{name}", world.entry(name, state="draining"))
        world.record.draining[name] = anyio.current_time()

    async def _zone(self):
        world, record = self._world, self._world.record
        zone = self._rng.choice(worlds.ZONES)
        if any(until_s == float("inf") for *_, until_s in record.zones_out):
            return
        world.store.put(f"op/evacuate/{zone}", {})
        out = [zone, anyio.current_time(), float("inf")]
        record.zones_out.append(out)
        await anyio.sleep(self._rng.uniform(2.0, 7.0))
        out[2] = anyio.current_time()
        if f"op/evacuate/{zone}" in world.store.items:
            world.store.delete(f"op/evacuate/{zone}")

    async def _route(self):
        self._world.has_new_route = True
        self._world.publish()

    def _disturb(self, lasts_s, recovers_s=0.0):
        """Choose a host, and note that its bounds don't hold for a while."""
        name = self._rng.choice(list(self._world.hosts))
        now_s = anyio.current_time()
        self._world.record.disturb(
            self._world.hosts[name], now_s, now_s + lasts_s + recovers_s
        )
        return name
