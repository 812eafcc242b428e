"""A large body is sent on without its beginning after a peer's refusal."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import lab as labs  # noqa: E402

_BODY_BYTES = 400_000
_CHUNK_BYTES = 16_384
_UPLOADS = 8
_MIN_CUT_S = 2.0
_MAX_CUT_S = 5.0
_ROUNDS = 10
_PAUSE_S = 2.0


def make_body(rng):
    """Return a body in chunks, different each time."""
    return [
        rng.randbytes(_CHUNK_BYTES) for _ in range(_BODY_BYTES // _CHUNK_BYTES)
    ]


def publish(lab):
    """Write the configuration of two services."""
    lab.store.put(
        "op/config",
        labs.configuration(
            1,
            [
                labs.route("booking", "/booking/", "non_idempotent", "press"),
                labs.route("ticket", "/ticket/", "idempotent", "scale"),
            ],
            [labs.service("press"), labs.service("scale")],
        ),
    )


async def upload(lab, sent):
    """Send large bodies in chunks, and keep what was sent in ``sent``."""
    hosts = list(lab.hosts.values())
    while True:
        body = make_body(lab.rng)
        host = lab.rng.choice(hosts)
        request_id, _ = await lab.request(host, "POST", "/booking/x", body)
        sent[request_id] = labs.digest(body)
        await asyncio.sleep(lab.rng.uniform(0, 0.1))


async def look_up(lab):
    """Send small requests to the service that has no disruption."""
    hosts = list(lab.hosts.values())
    while True:
        await lab.request(lab.rng.choice(hosts), "GET", "/ticket/x")
        await asyncio.sleep(0.05)


async def disturb(lab, servers):
    """Cut servers off from all hosts for a while."""
    for server in servers:
        await server.cut_off()
    await asyncio.sleep(lab.rng.uniform(_MIN_CUT_S, _MAX_CUT_S))
    for server in servers:
        await server.heal()


async def play(lab):
    """Cut off the servers of a service, and compare the bodies that ran."""
    publish(lab)
    press = [
        await lab.add_server(f"press-{n}", "press", "b", 4) for n in range(2)
    ]
    for number, zone in enumerate("aabc"):
        await lab.add_server(f"scale-{number}", "scale", zone, 4)
    await lab.start_hosts()
    sent = {}
    for _ in range(_UPLOADS):
        lab.spawn(upload(lab, sent))
    lab.spawn(look_up(lab))
    for _ in range(_ROUNDS):
        await asyncio.sleep(_PAUSE_S)
        if labs.has_trouble():
            await disturb(lab, press)
    await asyncio.sleep(3.0)
    runs = [one for one in lab.arrivals if one.has_run and one.id in sent]
    wrong = [one for one in runs if one.body != sent[one.id]]
    for one in wrong:
        lab.record.note(
            f"UNASKED {one.id}: sent {sent[one.id]}, {one.server} ran "
            f"{one.body}"
        )
    lab.record.note(
        f"{len(sent)} uploads, {len(runs)} runs, {len(wrong)} changed"
    )
    return bool(wrong)


labs.run_case(play, pathlib.Path(__file__).parent, {"a": 1, "b": 1, "c": 1})
