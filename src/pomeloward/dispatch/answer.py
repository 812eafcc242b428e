"""A target's answer on its way to the caller."""

import collections.abc

import anyio
import httpx

from pomeloward import model
from pomeloward import service
from pomeloward.dispatch import link as links
from pomeloward.dispatch import request as requests
from pomeloward.dispatch import steps

_DISCARD_BYTES = 4_096
_DISCARD_S = 0.05


class AnswerCut(model.PomelowardError):
    """A target's answer ended before its whole body came."""


class Answer:
    """The head of an answer and the stream of its body.

    The slot of the target is held until the body has ended. A body that
    ends early raises ``AnswerCut``, so that the caller never takes a part
    for the whole. ``outcome`` is the evidence of a body that ends well;
    an unusable answer has no recognizable end and is not passed on.
    """

    def __init__(
        self,
        response: httpx.Response,
        hold: steps.SlotHold,
        latency_ms: float,
        headers: requests.Headers,
        link: links.Link,
    ) -> None:
        self.status = response.status_code
        self.headers = headers
        self.target = hold.target
        self.latency_ms = latency_ms
        self.outcome = service.Outcome.OK
        self.is_unusable = False
        self._response = response
        self._hold = hold
        self._link = link
        self._is_released = False

    async def chunks(self) -> collections.abc.AsyncIterator[bytes]:
        """Iterate over the body; raises ``AnswerCut``."""
        stream = self._response.stream
        if not isinstance(stream, httpx.AsyncByteStream):
            raise AnswerCut("the answer has no stream")
        try:
            async for chunk in stream:
                yield chunk
        except httpx.HTTPError as error:
            self._release(service.Outcome.ERROR)
            raise AnswerCut(type(error).__name__) from error
        self._release(self.outcome)

    async def aclose(self) -> None:
        """End the answer; an open body is cancelled at the target."""
        try:
            await self._response.aclose()
        finally:
            self._release(service.Outcome.CANCELLED)

    async def discard(self) -> None:
        """End an answer that the caller does not get.

        A short body is read to its end, so that its connection stays open
        for the next request.
        """
        if self._is_released:
            return
        length = self._response.headers.get("content-length", "")
        with anyio.move_on_after(_DISCARD_S, shield=True):
            try:
                if length.isdigit() and int(length) <= _DISCARD_BYTES:
                    async for _ in self.chunks():
                        pass
            except AnswerCut:
                pass
            finally:
                await self._response.aclose()
        self._release(self.outcome)

    def _release(self, outcome: service.Outcome) -> None:
        if not self._is_released:
            self._is_released = True
            self._link.leave(anyio.current_time() * 1_000)
            self._hold.release(outcome, self.latency_ms)
