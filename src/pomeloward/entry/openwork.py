"""The open requests, downloads and websockets of a host."""

import dataclasses

import anyio

from pomeloward import catalog
from pomeloward import model
from pomeloward.entry import grant as grants


@dataclasses.dataclass(eq=False, slots=True)
class Work:
    """One open piece of work and how to end it."""

    request: model.RequestId
    grant: grants.Grant
    scope: anyio.CancelScope
    ended_by: model.ErrorKind | None = None

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

    def __len__(self) -> int:
        return len(self._open)

    def add(
        self,
        request: model.RequestId,
        grant: grants.Grant,
        scope: anyio.CancelScope,
    ) -> Work:
        """Note work as open until ``remove``."""
        work = Work(request, grant, scope)
        if not self._open:
            self._empty = anyio.Event()
        self._open[work] = None
        return work

    def remove(self, work: Work) -> None:
        """Note that work has ended."""
        del self._open[work]
        if not self._open:
            self._empty.set()

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
