"""Starts, stops and measures the processes of a site."""

import os
import pathlib
import signal
import subprocess
import sys

import anyio

_ROOT = pathlib.Path(__file__).parents[3]
_GRACE_S = 8.0
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class Processes:
    """The processes of a site by name, each with a log of its own."""

    def __init__(self, directory):
        self._directory = directory
        self._running = {}

    def start(self, name, arguments, source=_ROOT / "src"):
        """Start a Python program with the packages in ``source``."""
        with (self._directory / f"{name}.log").open("ab") as log:
            self._running[name] = subprocess.Popen(
                [sys.executable, "-m", *map(str, arguments)],
                cwd=self._directory,
                env={"PYTHONPATH": f"{source}:{_ROOT}"},
                stdout=log,
                stderr=log,
            )

    def is_running(self, name):
        return name in self._running and self._running[name].poll() is None

    async def stop(self, name, is_killed=False):
        """Return the status of a process ended by SIGTERM or SIGKILL.

        SIGKILL follows where SIGTERM takes long.
        """
        process = self._running[name]
        if process.poll() is None:
            process.send_signal(
                signal.SIGKILL if is_killed else signal.SIGTERM
            )
        with anyio.move_on_after(_GRACE_S):
            await self.wait(name)
        if process.poll() is None:
            process.kill()
            await self.wait(name)
        return process.returncode

    async def wait(self, name):
        """Return the exit status of a process when it has ended."""
        process = self._running[name]
        while True:
            if process.poll() is not None:
                return process.returncode
            await anyio.sleep(0.02)

    def kill_all(self):
        for process in self._running.values():
            if process.poll() is None:
                process.kill()
        for process in self._running.values():
            process.wait()

    def resident_bytes(self):
        """Return the resident memory of each process that runs."""
        found = {}
        for name, process in self._running.items():
            try:
                pages = pathlib.Path(f"/proc/{process.pid}/statm").read_text()
            except OSError:
                continue
            found[name] = int(pages.split()[1]) * _PAGE_BYTES
        return found
