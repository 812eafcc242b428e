"""Tests of peers over real websockets on the loopback interface."""

import contextlib

import anyio
import cbor2
import pytest
from websockets.asyncio import client

from pomeloward import model
from pomeloward import peer
from pomeloward.peer import handshake
from pomeloward.peer import outbox

_SECRET = b"fleet secret"
_A = model.HostId("a")
_B = model.HostId("b")


class Question(peer.Message, frozen=True, tag="shell-question"):
    number: int
    sender: str = ""


class Answer(peer.Message, frozen=True, tag="shell-answer"):
    number: int
    asked_by: str


class Ports:
    """A directory, and a link whose cuts and delays a test sets."""

    def __init__(self) -> None:
        self.ports: dict[model.HostId, int] = {}
        self.delays: dict[tuple[model.HostId, model.HostId], float | None] = {}

    def peer_address(self, host):
        port = self.ports.get(host)
        return None if port is None else ("127.0.0.1", port)

    def delay_ms(self, source, destination):
        return self.delays.get((source, destination), 0.0)


def _make(host, ports, secret=_SECRET) -> peer.WebsocketPeers:
    identity = peer.Identity(host, model.Incarnation(1))
    made = peer.WebsocketPeers(identity, secret, ports, ports)

    def answer(sender, question, now_ms):
        if question.number < 0:
            raise RuntimeError("fault of a handler")
        return Answer(number=question.number, asked_by=sender)

    made.register_handler(Question, answer)
    return made


@contextlib.asynccontextmanager
async def _pair(secret_b=_SECRET):
    ports = Ports()
    a, b = _make(_A, ports), _make(_B, ports, secret_b)
    async with anyio.create_task_group() as tasks:
        ports.ports[_A] = await tasks.start(a.run, "127.0.0.1", 0)
        ports.ports[_B] = await tasks.start(b.run, "127.0.0.1", 0)
        with anyio.fail_after(10):
            yield a, b, ports
        tasks.cancel_scope.cancel()


def test_answer_names_the_authenticated_sender():
    """Guards against trust in a sender that the message itself names."""

    async def scenario() -> None:
        async with _pair() as (a, _, _):
            question = Question(number=4, sender="c")
            answer = await a.request(_B, question, 2_000.0)
            assert answer == Answer(number=4, asked_by="a")

    anyio.run(scenario)


def test_own_host_is_asked_without_a_connection():
    """Guards against an owner that cannot vote for itself."""

    async def scenario() -> None:
        async with _pair() as (a, _, _):
            answer = await a.request(_A, Question(number=1), 2_000.0)
            assert answer == Answer(number=1, asked_by="a")
            assert not a.traffic.by_tag

    anyio.run(scenario)


def test_many_questions_travel_in_few_frames():
    """Guards against one frame, and its cost, for each message."""

    async def scenario() -> None:
        async with _pair() as (a, b, _):
            await a.request(_B, Question(number=0), 2_000.0)
            frames = 0
            queue = a._dialers[_B].queue
            take = queue.take_frame

            def counted(now_ms):
                nonlocal frames
                frames += 1
                return take(now_ms)

            queue.take_frame = counted
            answers = []

            async def ask(number: int) -> None:
                answer = await a.request(_B, Question(number=number), 2_000.0)
                answers.append(answer.number)

            async with anyio.create_task_group() as tasks:
                for number in range(100):
                    tasks.start_soon(ask, number)
            assert sorted(answers) == list(range(100))
            assert frames <= 3
            assert b.traffic.count("shell-question").messages_received == 101
            sent = a.traffic.count("shell-question").bytes_sent
            assert b.traffic.count("shell-question").bytes_received == sent

    anyio.run(scenario)


def test_fault_of_a_handler_stays_with_its_message():
    """Guards against one module's fault that cuts off all others."""

    async def scenario() -> None:
        async with _pair() as (a, _, _):
            with pytest.raises(model.PeerUnavailable):
                await a.request(_B, Question(number=-1), 2_000.0)
            assert (
                await a.request(_B, Question(number=1), 2_000.0)
            ).number == 1

    anyio.run(scenario)


def test_wrong_secret_gets_no_answer():
    """Guards against a stranger among the hosts."""

    async def scenario() -> None:
        async with _pair(secret_b=b"other") as (a, _, _):
            with pytest.raises(model.PeerUnavailable):
                await a.request(_B, Question(number=1), 500.0)

    anyio.run(scenario)


@pytest.mark.parametrize(
    "frame",
    [
        "text",
        b"\xff\x00",
        cbor2.dumps([cbor2.dumps([0, ["shell-question", "x"]])]),
        bytes(2_000_000),
        cbor2.dumps([cbor2.dumps([0, ["shell-question", 1]])])[:-1],
    ],
    ids=["text", "invalid", "wrong type", "huge", "truncated"],
)
def test_malformed_frame_closes_only_its_connection(frame):
    """Guards against a faulty peer that harms the others."""

    async def scenario() -> None:
        async with _pair() as (a, _, ports):
            await a.request(_B, Question(number=1), 2_000.0)
            uri = f"ws://127.0.0.1:{ports.ports[_B]}/"
            async with client.connect(uri, compression=None) as socket:
                await handshake.connect(
                    socket.send,
                    socket.recv,
                    _SECRET,
                    peer.Identity(model.HostId("c"), model.Incarnation(1)),
                    _B,
                )
                await socket.send(frame)
                await socket.wait_closed()
                assert socket.close_code in (1002, 1009)
            dialer = a._dialers[_B]
            assert (
                await a.request(_B, Question(number=2), 2_000.0)
            ).number == 2
            assert a._dialers[_B] is dialer

    anyio.run(scenario)


def test_one_way_cut_lets_questions_fail_and_heals():
    """Guards against a cut that is noticed never, or forever."""

    async def scenario() -> None:
        async with _pair() as (a, b, ports):
            await a.request(_B, Question(number=1), 2_000.0)
            ports.delays[(_B, _A)] = None
            with pytest.raises(model.PeerUnavailable):
                await a.request(_B, Question(number=2), 100.0)
            assert b.traffic.count("shell-question").messages_received == 2
            ports.delays[(_B, _A)] = 20.0
            started_s = anyio.current_time()
            assert (
                await a.request(_B, Question(number=3), 2_000.0)
            ).number == 3
            assert anyio.current_time() - started_s >= 0.02

    anyio.run(scenario)


def test_restarted_peer_is_reached_again():
    """Guards against a host that never reconnects."""

    async def scenario() -> None:
        ports = Ports()
        a = _make(_A, ports)
        async with anyio.create_task_group() as tasks:
            ports.ports[_A] = await tasks.start(a.run, "127.0.0.1", 0)
            for number in range(2):
                b = _make(_B, ports)
                async with anyio.create_task_group() as b_tasks:
                    port = ports.ports.get(_B, 0)
                    port = await b_tasks.start(b.run, "127.0.0.1", port)
                    ports.ports[_B] = port
                    assert await _ask_until_answered(a, number) == number
                    b_tasks.cancel_scope.cancel()
            with pytest.raises(model.PeerUnavailable):
                await a.request(_B, Question(number=9), 200.0)
            tasks.cancel_scope.cancel()

    anyio.run(scenario)


async def _ask_until_answered(asker, number: int) -> int:
    with anyio.fail_after(10):
        while True:
            try:
                answer = await asker.request(
                    _B, Question(number=number), 500.0
                )
            except model.PeerUnavailable:
                await anyio.sleep(0.02)
                continue
            return answer.number


def test_full_queue_refuses_at_once():
    """Guards against unbounded memory for a peer that does not read."""

    async def scenario() -> None:
        async with _pair() as (a, _, ports):
            ports.ports.pop(_B)
            for number in range(outbox.MAX_MESSAGES):
                a.notify(_B, Question(number=number))
            with pytest.raises(model.PeerUnavailable, match="full"):
                await a.request(_B, Question(number=0), 60_000.0)

    anyio.run(scenario)
