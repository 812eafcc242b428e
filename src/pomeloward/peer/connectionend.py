"""Why a connection between two hosts ended."""

import dataclasses

import websockets
from websockets import frames

STOP_CODE = frames.CloseCode.GOING_AWAY
# The code alone tells no stop: the library closes accepted connections with
# it after an error of the host too.
STOP_REASON = "host is stopping"


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionEnd:
    """The reason in words, and whether it is a planned stop of a host."""

    reason: str
    is_stop: bool = False


def from_closed(error: websockets.ConnectionClosed) -> ConnectionEnd:
    """Return the end that an error of a closed connection tells of."""
    return ConnectionEnd(str(error), _tells_stop(error))


def from_error(error: Exception) -> ConnectionEnd:
    """Return the end by an error while connecting or authenticating."""
    return ConnectionEnd(
        f"{type(error).__name__}: {error}",
        isinstance(error, websockets.ConnectionClosed) and _tells_stop(error),
    )


def _tells_stop(error: websockets.ConnectionClosed) -> bool:
    return frames.Close(STOP_CODE, STOP_REASON) in (error.rcvd, error.sent)
