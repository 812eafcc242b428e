"""A loopback proxy that disturbs the connections through it."""

import enum

import anyio


class Mode(enum.Enum):
    """What happens to bytes on their way."""

    OPEN = "open"
    DELAY = "delay"
    SILENT = "silent"
    ONE_WAY = "one_way"
    RESET = "reset"


_DELAY_S = 0.15
# How long a crashed server accepts no connections.
_DOWN_S = 1.5


class Proxy:
    """Passes connections to one port; ``mode`` may change at any time.

    What callers with an address in ``cuts`` send, and what is sent to them,
    waits for the event there.
    """

    def __init__(self, port, target_port):
        self.port = port
        self.mode = Mode.OPEN
        self.cuts = {}
        # The address of the caller behind each port that a server sees.
        self.callers = {}
        self._target_port = target_port
        self._scopes = set()
        self._life = anyio.CancelScope()

    def set(self, mode):
        self.mode = mode
        if mode is Mode.RESET:
            for scope in list(self._scopes):
                scope.cancel()

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED):
        is_first = True
        while True:
            listener = await anyio.create_tcp_listener(
                local_host="127.0.0.1", local_port=self.port
            )
            if is_first:
                task_status.started()
                is_first = False
            with anyio.CancelScope() as self._life:
                async with listener:
                    await listener.serve(self._connected)
            await anyio.sleep(_DOWN_S)

    def crash(self):
        """Close all connections, and accept none for a while."""
        self._life.cancel()

    async def _connected(self, near):
        async with near:
            if self.mode is Mode.RESET:
                return
            try:
                far = await anyio.connect_tcp("127.0.0.1", self._target_port)
            except OSError:
                return
            address = near.extra(anyio.abc.SocketAttribute.remote_address)[0]
            port = far.extra(anyio.abc.SocketAttribute.local_port)
            self.callers[port] = address
            async with far, anyio.create_task_group() as tasks:
                self._scopes.add(tasks.cancel_scope)
                try:
                    tasks.start_soon(
                        self._pass, near, far, address, True, tasks
                    )
                    await self._pass(far, near, address, False, tasks)
                finally:
                    self._scopes.discard(tasks.cancel_scope)

    async def _pass(self, source, sink, address, is_request, tasks):
        try:
            async for data in source:
                if address in self.cuts:
                    await self.cuts[address].wait()
                if self.mode is Mode.DELAY:
                    await anyio.sleep(_DELAY_S)
                if self.mode is Mode.SILENT or (
                    self.mode is Mode.ONE_WAY and not is_request
                ):
                    await anyio.sleep_forever()
                await sink.send(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass
        tasks.cancel_scope.cancel()
