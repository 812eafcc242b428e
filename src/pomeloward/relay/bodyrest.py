"""The part of a long response body that is passed on as it arrives."""

import collections.abc

import anyio
import httpx

from pomeloward import balance
from pomeloward import dispatch
from pomeloward import model
from pomeloward.dispatch import link as links

OnEnd = collections.abc.Callable[[balance.Outcome], None]


class BodyRest:
    """Iterates over the rest of a body until it ends or its time is over.

    A target may send bytes without end. Neither its slot nor its caller is
    kept longer than until the deadline of the request, and the target has
    failed then. ``on_end`` is called once with the outcome. The pool of the
    connection is in use until the body is closed.
    """

    def __init__(
        self,
        response: httpx.Response,
        chunks: collections.abc.AsyncIterator[bytes],
        deadline_ms: float,
    ) -> None:
        self.on_end: OnEnd | None = None
        self._response = response
        self._chunks = chunks
        self._deadline_ms = deadline_ms
        self._outcome = balance.Outcome.ABANDONED
        self._link: links.Link | None = None

    @property
    def deadline_ms(self) -> float:
        """When the body has to have been passed on."""
        return self._deadline_ms

    def hold_link(self, link: links.Link) -> None:
        """Count the body as a use of the pool that its connection is from."""
        link.enter(model.now_ms())
        self._link = link

    def __aiter__(self) -> "BodyRest":
        return self

    async def __anext__(self) -> bytes:
        """Return the next chunk; raise ``AnswerCut`` without a whole body."""
        # A target that always has bytes ready never waits in the scope.
        remaining_ms = self._deadline_ms - model.now_ms()
        if remaining_ms > 0:
            with anyio.move_on_after(remaining_ms / 1_000):
                return await self._read_chunk()
        self._outcome = balance.Outcome.ERROR
        raise dispatch.AnswerCut("the body did not end before the deadline")

    async def aclose(self) -> None:
        """Close the connection unless the body has ended, and end."""
        with anyio.CancelScope(shield=True):
            await self._response.aclose()
        link, self._link = self._link, None
        if link is not None:
            link.leave(model.now_ms())
        on_end, self.on_end = self.on_end, None
        if on_end is not None:
            on_end(self._outcome)

    async def _read_chunk(self) -> bytes:
        try:
            return await anext(self._chunks)
        except StopAsyncIteration:
            self._outcome = balance.Outcome.OK
            raise
        except httpx.HTTPError as error:
            self._outcome = balance.Outcome.ERROR
            raise dispatch.AnswerCut(type(error).__name__) from error
