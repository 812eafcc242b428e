"""An entry with a number of many digits ends the processes of all hosts."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import lab as labs  # noqa: E402

_ENTRY_S = 15.0
_ENTRY_INTERVAL_S = 1.5
_MIN_OWN_ENDS = 3
_MIN_MACHINES = 2


async def play(lab):
    """Let another writer add an entry, and count the ends of processes."""
    lab.store.put(
        "op/config",
        labs.configuration(
            1,
            [labs.route("booking", "/booking/", "non_idempotent", "press")],
            [labs.service("press")],
        ),
    )
    for zone in "ab":
        for number in range(2):
            await lab.add_server(f"press-{zone}{number}", "press", zone)
    await lab.start_hosts()
    hosts = list(lab.hosts.values())
    results = []

    async def call():
        while True:
            host = lab.rng.choice(hosts)
            _, answer = await lab.request(host, "POST", "/booking/x", b"order")
            results.append(answer is not None and answer.status == 200)
            await asyncio.sleep(0.1)

    lab.spawn(call())
    await asyncio.sleep(5.0)
    served_before = sum(results) / len(results)
    results.clear()
    end_s = labs.now_s() + _ENTRY_S
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
        await asyncio.sleep(_ENTRY_INTERVAL_S)
    served = sum(results) / max(1, len(results))
    ends = {host.name: host.own_ends for host in hosts}
    lab.record.note(
        f"ends by themselves: {ends}; served {served_before:.2f} before, "
        f"{served:.2f} while the entry was there"
    )
    broken = [count for count in ends.values() if count >= _MIN_OWN_ENDS]
    return len(broken) >= _MIN_MACHINES


labs.run_case(play, pathlib.Path(__file__).parent, {"a": 2, "b": 2})
