"""Response of a target that is passed on to the caller."""

import dataclasses

from pomeloward import dispatch
from pomeloward import model
from pomeloward.dispatch import link as links
from pomeloward.relay import bodyrest
from pomeloward.relay import heldbytes


@dataclasses.dataclass(slots=True)
class TargetResponse:
    """Status, headers and body of a target's response.

    ``body_start`` is the whole body unless that is large; ``body_rest`` then
    iterates over the remaining chunks, and is None otherwise. It raises
    ``dispatch.AnswerCut`` when the target ends the response early.
    ``target_id`` is the target's, None if it is unknown. ``is_relayed`` tells
    that a peer served the request, and that its status is meant for the
    caller. ``held`` counts ``body_start``, and is None if nothing does.
    """

    status: int
    headers: dispatch.Headers
    body_start: bytes
    body_rest: bodyrest.BodyRest | None = None
    target_id: model.TargetId | None = None
    is_relayed: bool = False
    held: heldbytes.HeldAnswer | None = None

    def hold_link(self, link: links.Link) -> None:
        """Keep a pool in use until a long body of this response has ended."""
        if self.body_rest is not None:
            self.body_rest.hold_link(link)

    def release_start(self) -> None:
        """Drop the start of the body, which was passed on."""
        self.body_start = b""
        if self.held is not None:
            self.held.release()

    async def aclose(self) -> None:
        """End the response, and its connection if the body has not ended."""
        self.release_start()
        if self.body_rest is not None:
            await self.body_rest.aclose()
