"""A request's place among the requests of its connection."""

import typing

import anyio

# The key of the turn in the state of an ASGI scope.
SCOPE_STATE_KEY = "pomeloward.turn"


class Turn:
    """Tells when all earlier requests of a connection are answered.

    A caller that loses its connection sends the unanswered requests again.
    So a request that must not run twice waits for its turn before it goes to
    a target.
    """

    def __init__(self, has_come: bool) -> None:
        self._came = anyio.Event()
        if has_come:
            self.come()

    @property
    def has_come(self) -> bool:
        """Whether no earlier request is open."""
        return self._came.is_set()

    def come(self) -> None:
        """Record that the last earlier request was answered."""
        self._came.set()

    async def wait(self) -> None:
        """Wait until all earlier requests are answered."""
        await self._came.wait()


def turn_of(scope: typing.Any) -> Turn:
    """Return the turn of an ASGI scope; without one it has come."""
    state = scope.get("state") or {}
    found = state.get(SCOPE_STATE_KEY)
    return found if isinstance(found, Turn) else Turn(has_come=True)
