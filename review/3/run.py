"""Numbers over 64 bits in the store end the processes of all hosts."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import lab as labs  # noqa: E402

_PHASE_S = 15.0
_CALM_S = 8.0
_WRITE_INTERVAL_S = 1.5
_FIRST_VERSION = 7
# A date, a time and a count: 20 digits.
_LATER_VERSION = 20261205113000000001
_MIN_OWN_ENDS = 3
_MIN_MACHINES = 2


def publish(lab, version):
    """Write a version of the configuration."""
    lab.store.put(
        "op/config",
        labs.configuration(
            version,
            [labs.route("booking", "/booking/", "non_idempotent", "press")],
            [labs.service("press")],
        ),
    )
    lab.record.write(f"version {version} is acknowledged")


async def call(lab, results):
    """Send bookings, and keep whether they were served."""
    hosts = list(lab.hosts.values())
    while True:
        host = lab.rng.choice(hosts)
        _, answer = await lab.request(host, "POST", "/booking/x", b"order")
        results.append(answer is not None and answer.status == 200)
        await asyncio.sleep(0.1)


async def write_entry(lab):
    """Write an entry from another writer for a while, and remove it."""
    end_s = labs.now_s() + _PHASE_S
    while labs.now_s() < end_s:
        if labs.has_trouble():
            lab.store.put(
                "servers/other",
                {
                    **lab.servers["press-a0"].entry(),
                    "address": "127.0.0.1:9",
                    "max-concurrency": 10**30,
                },
            )
            lab.record.write("another writer writes servers/other")
        await asyncio.sleep(_WRITE_INTERVAL_S)
    lab.store.delete("servers/other")


async def write_version(lab):
    """Publish a later version."""
    publish(lab, _LATER_VERSION if labs.has_trouble() else 8)
    await asyncio.sleep(_PHASE_S)


async def watch(lab, name, disturb, results):
    """Disturb the store's content; return whether the rule was broken."""
    before = {host.name: host.own_ends for host in lab.hosts.values()}
    results.clear()
    await disturb(lab)
    served = sum(results) / max(1, len(results))
    ends = {
        host.name: host.own_ends - before[host.name]
        for host in lab.hosts.values()
    }
    lab.record.note(f"{name}: own ends {ends}, served {served:.2f}")
    broken = [count for count in ends.values() if count >= _MIN_OWN_ENDS]
    return len(broken) >= _MIN_MACHINES


async def play(lab):
    """Write an entry and a version, and count the ends of processes."""
    publish(lab, _FIRST_VERSION)
    for zone in "ab":
        for number in range(2):
            await lab.add_server(f"press-{zone}{number}", "press", zone)
    await lab.start_hosts()
    results = []
    lab.spawn(call(lab, results))
    await watch(lab, "before", lambda _: asyncio.sleep(5.0), results)
    is_entry = await watch(lab, "entry", write_entry, results)
    await asyncio.sleep(_CALM_S)
    is_version = await watch(lab, "version", write_version, results)
    return is_entry or is_version


labs.run_case(play, pathlib.Path(__file__).parent, {"a": 2, "b": 2})
