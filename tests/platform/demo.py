"""The demo: hosts on the platform, their servers and callers, with faults.

Starts four hosts in two availability zones as processes of their own, six
servers, a store, and six callers. Then a server hangs, a key is withdrawn, a
zone is taken out of service, a host is stopped, and a configuration is
published. Prints what happened, with times, and ends within a minute.
"""

import argparse
import pathlib
import signal
import sys
import tempfile
import time

import anyio
import anyio.to_thread

from tests.platform import server as servers
from tests.platform.soak import world as worlds

_WARM_UP_S = 3.0
_HANG_S = 6.0
# The operators' bounds, as the settings of a host name them.
_KEY_LIMIT_S = 2.0
_ZONE_LIMIT_S = 5.0
_CONFIGURATION_LIMIT_S = 2.0
# A gray server gets no more orders within this time; docs/design.md, 1.3.
_DETECTION_LIMIT_S = 6.0
_STOP_LIMIT_S = 6.0


class Demo:
    """Plays the steps one after the other and keeps their results."""

    def __init__(self, world):
        self._world = world
        self._started_s = time.monotonic()
        self.is_good = True

    async def run(self):
        await anyio.sleep(_WARM_UP_S)
        await self._hang_server()
        await self._withdraw_key()
        await self._take_zone_out()
        await self._publish()
        await self._stop_host()
        self._check_traffic()

    def note(self, is_good, text):
        """Print one result."""
        self.is_good &= is_good
        mark = "ok  " if is_good else "FAIL"
        passed_s = time.monotonic() - self._started_s
        print(f"[{passed_s:5.1f} s] {mark} {text}", flush=True)

    async def _hang_server(self):
        since_s = anyio.current_time()
        self._world.set_behaviour("a-s0", servers.hang)
        await anyio.sleep(_HANG_S)
        late_s = [
            arrival.at_s - since_s
            for arrival in self._world.record.arrivals
            if arrival.server == "a-s0"
            and arrival.at_s > since_s
            and self._world.record.requests[arrival.request].is_order
        ]
        self._world.set_behaviour("a-s0", servers.answer)
        last_s = max(late_s, default=0.0)
        self.note(
            last_s <= _DETECTION_LIMIT_S,
            f"a-s0 hung; its last order came {last_s:.1f} s later, "
            f"{len(late_s)} in all",
        )

    async def _withdraw_key(self):
        key = self._world.keys.pop()
        self._world.publish()
        since_s = anyio.current_time()
        self._world.record.withdrawn[key] = since_s
        await anyio.sleep(_KEY_LIMIT_S + 1.0)
        requests = self._world.record.requests
        served_s = [
            one.ended_s - since_s
            for one in requests.values()
            if one.key == key and one.status == 200 and one.sent_s > since_s
        ]
        last_s = max(served_s, default=0.0)
        refused = sum(
            one.key == key and one.status == 401 for one in requests.values()
        )
        self.note(
            last_s <= _KEY_LIMIT_S and refused > 0,
            f"a key was withdrawn; its last answer came {last_s:.1f} s after "
            f"the store had it, then {refused} refusals",
        )

    async def _take_zone_out(self):
        since_s = anyio.current_time()
        self._world.store.put("op/evacuate/b", {})
        await anyio.sleep(_ZONE_LIMIT_S)
        last_s = max(
            arrival.at_s - since_s
            for arrival in self._world.record.arrivals
            if arrival.server.startswith("b-")
        )
        self._world.store.delete("op/evacuate/b")
        self.note(
            last_s <= _ZONE_LIMIT_S,
            f"zone b was taken out; its last request came {last_s:.1f} s "
            "later",
        )

    async def _publish(self):
        self._world.has_new_route = True
        self._world.publish()
        since_s = anyio.current_time()
        await anyio.sleep(_CONFIGURATION_LIMIT_S)
        served_s = [
            one.sent_s - since_s
            for one in self._world.record.requests.values()
            if one.path.startswith("/new/") and one.status == 404
        ]
        last_s = max(served_s, default=0.0)
        self.note(
            last_s <= _CONFIGURATION_LIMIT_S,
            f"a route was published; the last request that did not know it "
            f"came {max(0.0, last_s):.1f} s later",
        )

    async def _stop_host(self):
        process = self._world.processes["a0"]
        host = self._world.hosts["a0"]
        since_s = anyio.current_time()
        self._world.signal("a0", signal.SIGTERM)
        status = await anyio.to_thread.run_sync(process.wait)
        took_s = anyio.current_time() - since_s
        await anyio.sleep(1.0)
        cut = sum(
            one.host == host and not one.status and one.body == "ReadError"
            for one in self._world.record.requests.values()
            if since_s <= one.sent_s <= since_s + took_s
        )
        self.note(
            status == 0 and took_s <= _STOP_LIMIT_S and not cut,
            f"host a0 stopped in {took_s:.1f} s with exit status {status}; "
            f"{cut} of its requests were cut",
        )

    def _check_traffic(self):
        record = self._world.record
        record.calm_from_s = 0.0
        ended = [one for one in record.requests.values() if one.ended_s]
        served = sum(one.status == 200 for one in ended)
        # The hung server's orders are lost, and are no broken promise.
        broken = [
            line
            for line in record.violations()
            if not line.startswith("serves")
        ]
        self.note(
            not broken,
            f"{len(ended)} requests, {served} served; "
            f"{len(broken)} broken promises {broken[:3] if broken else ''}",
        )


async def _play(seed, directory):
    world = worlds.World(seed, directory, "none", first_octet=9)
    async with world.running():
        demo = Demo(world)
        demo.note(True, "4 hosts in 2 zones are ready before 6 servers")
        await demo.run()
        return demo.is_good


def main():
    """Play the demo; return 0 when every step did what it should."""
    parser = argparse.ArgumentParser(prog="demo", description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    given = parser.parse_args()
    with tempfile.TemporaryDirectory() as directory:
        is_good = anyio.run(_play, given.seed, pathlib.Path(directory))
    print("demo passed" if is_good else "demo FAILED")
    return 0 if is_good else 1


if __name__ == "__main__":
    sys.exit(main())
