"""Connects the spreader to peers, the platform's reader and the clock."""

import collections.abc

import anyio
import anyio.abc
import anyio.to_thread

from pomeloward import model
from pomeloward import peer
from pomeloward.catalog import actions
from pomeloward.catalog import configuration
from pomeloward.catalog import messages
from pomeloward.catalog import pages
from pomeloward.catalog import puller
from pomeloward.catalog import records
from pomeloward.catalog import snapshot
from pomeloward.catalog import spreader

Subscriber = collections.abc.Callable[
    [configuration.Configuration, float], None
]


class Catalog:
    """Runs a ``Spreader``; it is the ``platform.Sink`` of the reader.

    Subscribers are called with every configuration that comes into force,
    before the next event is handled.
    """

    def __init__(
        self, decisions: spreader.Spreader, peers: peer.Peers
    ) -> None:
        self._decisions = decisions
        self._peers = peers
        self._group: anyio.abc.TaskGroup | None = None
        self._subscribers: list[Subscriber] = []
        self._building = anyio.Lock()
        peers.register_handler(messages.ChangePush, self._on_push)
        for question in (
            messages.VersionAsk,
            messages.ChangesAsk,
            messages.PageAsk,
        ):
            peers.register_handler(question, self._on_question)

    @property
    def decisions(self) -> spreader.Spreader:
        """The decisions, with the configuration in force."""
        return self._decisions

    def subscribe(self, subscriber: Subscriber) -> None:
        """Call a function with each configuration that comes into force."""
        self._subscribers.append(subscriber)

    async def run(self) -> None:
        """Pull, compare and build until cancelled."""
        async with anyio.create_task_group() as group:
            self._group = group
            while True:
                now_ms = _now_ms()
                self._perform(self._decisions.on_tick(now_ms), now_ms)
                await anyio.sleep(spreader.TICK_MS / 1000)

    def on_peer_version(
        self, host: model.HostId, version: model.Version
    ) -> None:
        """Hear that a peer has a version, from a heartbeat or a refusal."""
        self._decisions.on_peer_version(host, version, _now_ms())

    def accepted_version(self) -> model.Version:
        """Return the version in force."""
        return self._decisions.view.version

    def on_published_change(self, payload: bytes, now_ms: float) -> None:
        """Take the bytes of one change from the platform."""
        self._perform(self._decisions.on_change(payload, now_ms), now_ms)

    async def on_published_snapshot(
        self,
        version: model.Version,
        shards: list[bytes],
    ) -> None:
        """Take all shards of a snapshot from the platform."""
        await self._build(version, snapshot.decode_shards(_drained(shards)))

    def _on_push(
        self, host: model.HostId, notice: peer.Message, now_ms: float
    ) -> None:
        if isinstance(notice, messages.ChangePush):
            done = self._decisions.on_change(notice.change, now_ms, host)
            self._perform(done, now_ms)

    def _on_question(
        self, host: model.HostId, question: peer.Message, now_ms: float
    ) -> peer.Message | None:
        return self._decisions.answer(question, now_ms)

    def _perform(self, todo: spreader.Actions, now_ms: float) -> None:
        for action in todo:
            match action:
                case actions.Tell():
                    self._peers.notify(action.host, action.notice)
                case actions.InForce():
                    for subscriber in self._subscribers:
                        subscriber(action.configuration, now_ms)
                case actions.Ask():
                    self._start(self._ask, action)
                case actions.Build():
                    self._start(self._build_pages, action)

    def _start(
        self,
        function: collections.abc.Callable[
            ..., collections.abc.Coroutine[None, None, None]
        ],
        action: actions.Action,
    ) -> None:
        # Questions arise only in ``run`` and from answers to them.
        if self._group is not None:
            self._group.start_soon(function, action)

    async def _ask(self, action: actions.Ask) -> None:
        asked_at_ms = _now_ms()
        try:
            answer = await self._peers.request(
                action.host, action.question, puller.ASK_TIMEOUT_MS
            )
        except model.PeerUnavailable:
            self._decisions.on_failure(action.host, action.question)
            return
        now_ms = _now_ms()
        done = self._decisions.on_answer(
            action.host, answer, asked_at_ms, now_ms
        )
        # The next page or batch follows at once.
        if not isinstance(answer, messages.VersionAnswer):
            done += self._decisions.on_tick(now_ms)
        self._perform(done, now_ms)

    async def _build_pages(self, action: actions.Build) -> None:
        found = pages.decode_pages(_drained(action.pages))
        await self._build(action.version, found)

    async def _build(
        self,
        version: model.Version,
        found: collections.abc.Iterator[records.Record],
    ) -> None:
        """Build in a worker thread, so that the loop keeps answering.

        One at a time: two whole configurations under construction would
        take most of the memory that control may use.
        """
        async with self._building:
            if version <= self.accepted_version():
                self._decisions.on_build_failed("")
                return
            try:
                whole = await anyio.to_thread.run_sync(
                    configuration.Configuration.of_records, version, found
                )
            except model.ConfigurationError as error:
                self._decisions.on_build_failed(str(error))
                return
            now_ms = _now_ms()
            self._perform(self._decisions.on_built(whole, now_ms), now_ms)


def _drained(payloads: list[bytes]) -> collections.abc.Iterator[bytes]:
    """Free each payload as soon as it is read."""
    payloads.reverse()
    while payloads:
        yield payloads.pop()


def _now_ms() -> float:
    return anyio.current_time() * 1000
