"""Reaches through ASGI to the HTTP/2 connection of hypercorn.

ASGI has no message to reset a stream or to announce the end of a
connection. Both go through the bound ``send`` of hypercorn 0.18, whose owner
is the stream, which in turn knows its protocol. For HTTP/1.1 nothing is
needed: hypercorn closes the connection of an unfinished answer.
"""

import typing

import h2.connection
import h2.errors
import h2.exceptions
from hypercorn import events
from hypercorn.protocol import h2 as protocols
import hyperframe.frame

# GOAWAY with the largest stream id announces the end without refusing
# streams that are on their way (RFC 9113, section 6.8).
_LARGEST_STREAM_ID = 2**31 - 1


async def reset_stream(send: typing.Any) -> None:
    """Reset the HTTP/2 stream of an answer that was cut short."""
    stream, protocol = _h2(send)
    if protocol is None:
        return
    stream_id = stream.stream_id
    try:
        protocol.connection.reset_stream(
            stream_id, h2.errors.ErrorCodes.INTERNAL_ERROR
        )
    except h2.exceptions.ProtocolError:
        return
    await protocol.send(events.RawData(protocol.connection.data_to_send()))
    buffer = protocol.stream_buffers.get(stream_id)
    if buffer is not None:
        await buffer.close()
        protocol.priority.unblock(stream_id)
        await protocol.has_data.set()


async def announce_end(send: typing.Any, is_patient: bool) -> None:
    """Tell an HTTP/2 caller to open no more streams here.

    Some clients, those on the h2 library among them, end their open streams
    at the announcement. A patient host therefore waits until the connection
    has no open stream.
    """
    _, protocol = _h2(send)
    if protocol is None or getattr(protocol, "is_end_announced", False):
        return
    if is_patient and protocol.streams:
        return
    protocol.is_end_announced = True
    frame = hyperframe.frame.GoAwayFrame(
        stream_id=0, last_stream_id=_LARGEST_STREAM_ID, error_code=0
    )
    await protocol.send(events.RawData(frame.serialize()))


def _h2(send: typing.Any) -> tuple[typing.Any, typing.Any]:
    stream = getattr(send, "__self__", None)
    protocol = getattr(getattr(stream, "send", None), "__self__", None)
    if isinstance(protocol, protocols.H2Protocol):
        return stream, protocol
    return None, None
