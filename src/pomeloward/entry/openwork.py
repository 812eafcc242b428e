"""The open requests, downloads and websockets of a host."""

import collections.abc
import dataclasses

import anyio

from pomeloward import catalog
from pomeloward import dispatch
from pomeloward import model
from pomeloward.entry import grant as grants

# Most requests end before their caller could leave; watching each from its
# start would cost a task, 0.15 ms of processor time.
_WATCH_AFTER_S = 0.02

Watch = collections.abc.Callable[["Work"], collections.abc.Awaitable[None]]


@dataclasses.dataclass(eq=False, slots=True)
class Work:
    """One open piece of work and how to end it.

    ``watch`` waits until the caller leaves, and then ends the work.
    ``evidence`` tells whether the work may have run on a target.
    """

    request: model.RequestId
    grant: grants.Grant
    scope: anyio.CancelScope
    watch: Watch | None = None
    evidence: dispatch.RunEvidence = dataclasses.field(
        default_factory=dispatch.RunEvidence
    )
    ended_by: model.ErrorKind | None = None
    watch_scope: anyio.CancelScope | None = None

    def end(self, reason: model.ErrorKind) -> None:
        """Cancel the work; the first reason counts."""
        if self.ended_by is None:
            self.ended_by = reason
            self.scope.cancel()


class OpenWork:
    """Knows all open work, so that a withdrawn key ends it at once.

    Example::

        work = open_work.add(request_id, grant, tasks.cancel_scope)
        open_work.end_withdrawn(view)
    """

    def __init__(self) -> None:
        self._open: dict[Work, None] = {}
        self._empty = anyio.Event()
        self._empty.set()
        self._unwatched: dict[Work, None] = {}
        self._some_unwatched = anyio.Event()

    def __len__(self) -> int:
        return len(self._open)

    def add(
        self,
        request: model.RequestId,
        grant: grants.Grant,
        scope: anyio.CancelScope,
        watch: Watch | None = None,
    ) -> Work:
        """Note work as open until ``remove``."""
        work = Work(request, grant, scope, watch)
        if watch is not None:
            self._unwatched[work] = None
            self._some_unwatched.set()
        if not self._open:
            self._empty = anyio.Event()
        self._open[work] = None
        return work

    def remove(self, work: Work) -> None:
        """Note that work has ended."""
        del self._open[work]
        self._unwatched.pop(work, None)
        if work.watch_scope is not None:
            work.watch_scope.cancel()
        if not self._open:
            self._empty.set()

    async def run(self) -> None:
        """Watch the callers of work that takes longer, until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                if not self._unwatched:
                    self._some_unwatched = anyio.Event()
                    await self._some_unwatched.wait()
                due = list(self._unwatched)
                await anyio.sleep(_WATCH_AFTER_S)
                for work in due:
                    if work in self._unwatched:
                        del self._unwatched[work]
                        work.watch_scope = anyio.CancelScope()
                        tasks.start_soon(_run_watch, work)

    def end_withdrawn(self, view: catalog.View) -> int:
        """End all work whose key a configuration no longer grants."""
        ended = 0
        for work in self._open:
            if not work.grant.is_in_force(view):
                work.end(model.ErrorKind.KEY_WITHDRAWN)
                ended += 1
        return ended

    def end_keyed(self, reason: model.ErrorKind) -> int:
        """End all work under a key, for a host that lost its standing.

        Such a host could not learn of a withdrawal in time.
        """
        ended = 0
        for work in self._open:
            if work.grant.digest is not None:
                work.end(reason)
                ended += 1
        return ended

    async def wait_empty(self) -> None:
        """Wait until no work is open."""
        while self._open:
            await self._empty.wait()


async def _run_watch(work: Work) -> None:
    if work.watch_scope is None or work.watch is None:
        return
    with work.watch_scope:
        await work.watch(work)
