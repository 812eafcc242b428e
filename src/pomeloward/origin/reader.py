"""The loops that read the platform and feed the configuration."""

import collections.abc

import anyio

from pomeloward import model
from pomeloward import peer
from pomeloward.origin import cursor
from pomeloward.origin import head
from pomeloward.origin import hostentry
from pomeloward.origin import messages
from pomeloward.origin import protocol
from pomeloward.origin import readbudget
from pomeloward.origin import readerchoice
from pomeloward.origin import sink
from pomeloward.origin import value

WATCH_MS = 10_000.0
# A value that is published but not found yet is tried again after this.
RETRY_MS = 1_000.0
ASK_TIMEOUT_MS = 900.0
IDLE_MS = 200.0
HOSTS_INTERVAL_MS = 30_000.0


class Reader:
    """Reads the platform while ``ReaderChoice`` says so.

    ``host_list`` is the platform's list as last read; it lags, and stays
    empty on hosts that do not read.
    """

    def __init__(
        self,
        source: protocol.Platform,
        choice: readerchoice.ReaderChoice,
        budget: readbudget.ReadBudget,
        target: sink.Sink,
        peers: peer.Peers,
    ) -> None:
        self._source = source
        self._choice = choice
        self._budget = budget
        self._target = target
        self._peers = peers
        self._cursor = cursor.Cursor()
        self._head_version = 0
        self._hosts_due_ms = 0.0
        self.host_list: collections.abc.Sequence[hostentry.HostEntry] = ()
        peers.register_handler(messages.ReaderAsk, self._on_ask)

    async def run(self) -> None:
        """Ask and read until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._ask_forever)
            group.start_soon(self._read_forever)

    def _on_ask(
        self, host: model.HostId, question: peer.Message, now_ms: float
    ) -> peer.Message:
        return messages.ReaderAnswer(
            is_reading=self._choice.is_reading(now_ms)
        )

    async def _ask_forever(self) -> None:
        while True:
            async with anyio.create_task_group() as group:
                for host in self._choice.questions():
                    group.start_soon(self._ask, host)
                await anyio.sleep(readerchoice.ASK_INTERVAL_MS / 1000)

    async def _ask(self, host: model.HostId) -> None:
        asked_at_ms = _now_ms()
        try:
            answer = await self._peers.request(
                host, messages.ReaderAsk(), ASK_TIMEOUT_MS
            )
        except model.PeerUnavailable:
            return
        if isinstance(answer, messages.ReaderAnswer):
            self._choice.on_answer(host, answer.is_reading, asked_at_ms)

    async def _read_forever(self) -> None:
        while True:
            if not self._may_read(_now_ms()):
                await anyio.sleep(IDLE_MS / 1000)
                continue
            try:
                await self._read_once()
            except (model.PlatformUnavailable, model.ConfigurationError):
                self._budget.on_failure(_now_ms())

    def _may_read(self, now_ms: float) -> bool:
        has_version = self._target.accepted_version() > 0
        return self._choice.is_reader(now_ms) and (
            has_version or self._budget.may_bootstrap(now_ms)
        )

    async def _read_once(self) -> None:
        step = self._cursor.next_read(self._target.accepted_version())
        match step:
            case cursor.ReadChange():
                await self._read_change(step.version)
            case cursor.ReadSnapshot():
                await self._read_snapshot(step)
            case None:
                await self._read_hosts()
                await self._watch_head()

    async def _watch_head(self) -> None:
        await self._spend()
        wait_ms = RETRY_MS if self._cursor.is_incomplete else WATCH_MS
        found = await self._source.watch(
            head.HEAD_NAME, self._head_version, wait_ms
        )
        self._succeeded()
        self._cursor.on_waited()
        if found is None:
            # The numbers of writes start again when the platform is rebuilt,
            # and a watch above the old number would then wait for ever.
            found = await self._read(head.HEAD_NAME)
        if found is not None:
            self._head_version = found.version
            self._cursor.on_head(head.decode_head(found.payload))

    async def _read_change(self, version: model.Version) -> None:
        found = await self._read(head.change_name(version))
        if found is not None:
            self._target.on_published_change(found.payload, _now_ms())
        self._cursor.on_change(version, found is not None)

    async def _read_snapshot(self, step: cursor.ReadSnapshot) -> None:
        shards = []
        for shard in range(step.shards):
            found = await self._read(head.snapshot_name(step.version, shard))
            if found is None:
                self._cursor.on_snapshot(step.version, False)
                return
            shards.append(found.payload)
        await self._target.on_published_snapshot(step.version, shards)
        self._cursor.on_snapshot(step.version, True)

    async def _read_hosts(self) -> None:
        if _now_ms() >= self._hosts_due_ms:
            self._hosts_due_ms = _now_ms() + HOSTS_INTERVAL_MS
            await self._spend()
            self.host_list = await self._source.hosts()
            self._succeeded()

    async def _read(self, name: str) -> value.Value | None:
        await self._spend()
        found = await self._source.read(name)
        self._succeeded()
        return found

    async def _spend(self) -> None:
        delay_ms = self._budget.delay_ms(_now_ms())
        if delay_ms > 0:
            await anyio.sleep(delay_ms / 1000)
        self._budget.spend(_now_ms())

    def _succeeded(self) -> None:
        self._budget.on_success()
        self._choice.on_read(_now_ms())


def _now_ms() -> float:
    return anyio.current_time() * 1000
