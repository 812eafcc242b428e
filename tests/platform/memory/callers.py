"""Callers in a process of their own; prints what they saw as JSON."""

import argparse
import asyncio
import contextlib
import enum
import itertools
import json
import random
import socket
import sys
import time

from tests.platform import fleet

_ERRORS = (OSError, asyncio.IncompleteReadError)
_PAUSE_S = 0.05
_ANSWER_S = 4.0
# Little is read at a time, so that the rest stays with the host.
_RECEIVE_BUFFER_BYTES = 4_096


class Mode(enum.Enum):
    """How callers treat their answers."""

    READ = "read"
    SLOW = "slow"
    SILENT = "silent"
    LEAVE = "leave"


# Callers who read slowly, not at all, or leave.
_HARMFUL_MODES = (Mode.SLOW, Mode.SILENT, Mode.LEAVE)


class Callers:
    """Calls one path from many connections for a while."""

    def __init__(self, arguments):
        self._arguments = arguments
        self._rng = random.Random(arguments.seed)
        self._ids = itertools.count(1)
        self._statuses = []
        self._took_ms = []

    async def run(self):
        modes = (
            [Mode.READ] if self._arguments.mode == "read" else _HARMFUL_MODES
        )
        tasks = [
            asyncio.create_task(self._call_often(mode))
            for _, mode in zip(
                range(self._arguments.count), itertools.cycle(modes)
            )
        ]
        await asyncio.sleep(self._arguments.duration_s)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return {"statuses": self._statuses, "took_ms": self._took_ms}

    async def _call_often(self, mode):
        await asyncio.sleep(self._rng.random())
        while True:
            started_s = time.monotonic()
            status = 0
            with contextlib.suppress(*_ERRORS, TimeoutError):
                status = await self._call(mode)
            self._statuses.append(status)
            self._took_ms.append((time.monotonic() - started_s) * 1_000)
            await asyncio.sleep(_PAUSE_S)

    async def _call(self, mode):
        sock = socket.socket()
        sock.setblocking(False)
        if mode is not Mode.READ:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
            )
        loop = asyncio.get_running_loop()
        try:
            host, _, port = self._arguments.address.partition(":")
            await loop.sock_connect(sock, (host, int(port)))
            await loop.sock_sendall(sock, self._format_request())
            if mode is Mode.SILENT:
                await asyncio.sleep(3_600)
            if mode is Mode.LEAVE:
                await asyncio.sleep(self._rng.uniform(0.2, 1.0))
                return 0
            if mode is Mode.SLOW:
                return await self._read_slowly(loop, sock)
            async with asyncio.timeout(_ANSWER_S):
                return await self._read_answer(loop, sock)
        finally:
            sock.close()

    @staticmethod
    async def _read_slowly(loop, sock):
        data = b"x"
        while data:
            await asyncio.sleep(_PAUSE_S)
            data = await loop.sock_recv(sock, 1_024)
        return 0

    @staticmethod
    async def _read_answer(loop, sock):
        """Read until the connection ends; return the status."""
        start = b""
        while data := await loop.sock_recv(sock, 65_536):
            start += data[: 32 - len(start)]
        return int(start.split()[1]) if start.startswith(b"HTTP/1.1 ") else 0

    def _format_request(self):
        arguments = self._arguments
        lines = [
            f"GET {arguments.path} HTTP/1.1",
            f"Host: {fleet.HOST}",
            f"X-Request-Id: {arguments.seed}-{next(self._ids):08}",
            "X-Timeout-Ms: 3000",
            f"Authorization: Token {fleet.KEY}",
            "Connection: close",
        ]
        return "\r\n".join([*lines, "", ""]).encode()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--address", required=True)
    parser.add_argument("--path", required=True)
    parser.add_argument("--mode", choices=("read", "harmful"), required=True)
    parser.add_argument("--count", type=int, required=True)
    parser.add_argument("--duration-s", type=float, required=True)
    parser.add_argument("--seed", type=int, default=1)
    seen = asyncio.run(Callers(parser.parse_args()).run())
    sys.stdout.write(json.dumps(seen))


if __name__ == "__main__":
    main()
