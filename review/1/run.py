"""Two attempts share the part of a body that is still on its way."""

import asyncio
import contextlib
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import lab as labs  # noqa: E402

_CHUNK_BYTES = 16_384
_CHUNKS = 15
_LOSS_RATIO = 0.025
_PACKET_BYTES = 1_460
# The shortest time after which Linux sends a lost packet again.
_RETRANSMISSION_S = 0.2
_CLIENTS = 4
_PLAY_S = 25.0


class Link:
    """A proxy between clients and one host, as over a link with losses.

    A lost packet is sent again, and what comes after it waits for it.
    """

    def __init__(self, lab, host):
        self.port = lab.free_port()
        self._rng = lab.rng
        self._address = (host.ip_address, lab.ports["front"])

    async def start(self):
        """Start to listen."""
        await asyncio.start_server(self._pass, "127.0.0.1", self.port)

    async def _pass(self, reader, writer):
        with contextlib.suppress(OSError):
            far_reader, far_writer = await asyncio.open_connection(
                *self._address
            )
            await asyncio.gather(
                self._copy(reader, far_writer, labs.has_trouble()),
                self._copy(far_reader, writer, False),
            )

    async def _copy(self, reader, writer, is_lossy):
        with contextlib.suppress(OSError):
            while data := await reader.read(_PACKET_BYTES):
                if is_lossy and self._rng.random() < _LOSS_RATIO:
                    await asyncio.sleep(_RETRANSMISSION_S)
                writer.write(data)
                await writer.drain()
        writer.close()


async def upload(lab, link):
    """Upload a body in chunks; return the request's id and what was sent."""
    body = [lab.rng.randbytes(_CHUNK_BYTES) for _ in range(_CHUNKS)]
    request_id = lab.next_id()
    headers = {
        "Host": labs.HOSTNAME,
        "X-Request-Id": request_id,
        "X-Timeout-Ms": "4000",
        "Authorization": f"Token {labs.KEY}",
    }
    lab.record.write(f"client sends {request_id} body {labs.digest(body)}")
    status = "no answer"
    with contextlib.suppress(
        OSError, asyncio.IncompleteReadError, asyncio.TimeoutError
    ):
        answer = await lab.call(
            ("127.0.0.1", link.port), "PUT", "/weights/x", headers, body
        )
        status = answer.status
    lab.record.write(f"client of {request_id} gets {status}")
    return request_id, labs.digest(body)


async def play(lab):
    """Upload over lossy links, and compare the bodies that ran."""
    lab.store.put(
        "op/config",
        labs.configuration(
            1,
            [
                labs.route(
                    "weights",
                    "/weights/",
                    "idempotent",
                    "scale",
                    **{"timeout-s": 4.0},
                )
            ],
            [labs.service("scale")],
        ),
    )
    for zone in "ab":
        for number in range(3):
            await lab.add_server(f"scale-{zone}{number}", "scale", zone, 4)
    await lab.start_hosts()
    links = [Link(lab, host) for host in lab.hosts.values()]
    for link in links:
        await link.start()
    sent = {}
    end_s = labs.now_s() + _PLAY_S

    async def client(number):
        while labs.now_s() < end_s:
            request_id, body = await upload(lab, links[number % len(links)])
            sent[request_id] = body
            await asyncio.sleep(lab.rng.uniform(0, 0.3))

    await asyncio.gather(*(client(number) for number in range(_CLIENTS)))
    await asyncio.sleep(2.0)
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


labs.run_case(play, pathlib.Path(__file__).parent, {"a": 1, "b": 1})
