"""Tests of the encoding and decoding of frames between hosts."""

import cbor2
import hypothesis
from hypothesis import strategies
import pytest

from pomeloward import model
from pomeloward import peer
from pomeloward.peer import wireformat


class SampleMessage(peer.Message, frozen=True, tag="wire-sample"):
    count: int
    names: tuple[str, ...] = ()
    digest: bytes = b""


def _encode_frame(*envelopes: object) -> bytes:
    return cbor2.dumps([cbor2.dumps(envelope) for envelope in envelopes])


def test_decoded_envelopes_equal_the_encoded_ones():
    """Guards against fields that are lost or confused by the encoding."""
    sample = SampleMessage(count=3, names=("a", "b"), digest=b"\x00\xff")
    frame = wireformat.encode_frame(
        [
            wireformat.encode_envelope(
                wireformat.EnvelopeKind.REQUEST, 7, sample
            ),
            wireformat.encode_envelope(
                wireformat.EnvelopeKind.NO_RESPONSE, 8, None
            ),
        ]
    )
    request, no_response = wireformat.decode_frame(frame)
    assert (request.kind, request.correlation_id, request.message) == (
        wireformat.EnvelopeKind.REQUEST,
        7,
        sample,
    )
    assert (no_response.kind, no_response.correlation_id) == (
        wireformat.EnvelopeKind.NO_RESPONSE,
        8,
    )


def test_unknown_message_type_is_ignored():
    """Guards against a connection that ends for a later release's message."""
    (envelope,) = wireformat.decode_frame(
        _encode_frame([0, ["of-a-later-release", 1]])
    )
    assert envelope.message is None


def test_field_of_a_later_release_is_ignored():
    """Guards against a release that rejects a field added by a later one."""
    (envelope,) = wireformat.decode_frame(
        _encode_frame([0, ["wire-sample", 1, [], b"", "later"]])
    )
    assert envelope.message == SampleMessage(count=1)


@pytest.mark.parametrize(
    "frame",
    [
        b"",
        b"\xff",
        cbor2.dumps("text"),
        cbor2.dumps(["text"]),
        cbor2.dumps([[0, ["wire-sample", 1]]]),
        _encode_frame(["x", ["wire-sample", 1]]),
        _encode_frame([9, ["wire-sample", 1]]),
        _encode_frame([True, ["wire-sample", 1]]),
        _encode_frame([1, -1, ["wire-sample", 1]]),
        _encode_frame([1, ["wire-sample", 1]]),
        _encode_frame([0, ["wire-sample", "one"]]),
        _encode_frame([0, ["wire-sample", 1.5]]),
        _encode_frame([0, ["wire-sample"]]),
        _encode_frame([0, ["wire-sample", 1, [1]]]),
        _encode_frame([0, [5, 1]]),
        _encode_frame([0, {"type": "wire-sample"}]),
        _encode_frame([0, ["wire-sample", 2**80]]),
        _encode_frame([0, ["wire-sample", cbor2.CBORTag(35, "(a+)+")]]),
        _encode_frame([0, ["wire-sample", cbor2.CBORTag(6000, 1)]]),
        _encode_frame([0, ["wire-sample", 1]])[:-2],
        cbor2.dumps([b"\x81" * 100_000]),
        b"\x9b" + b"\xff" * 8,
        cbor2.dumps([b"\x5b" + b"\x7f" + b"\xff" * 7]),
    ],
)
def test_malformed_frames_are_rejected(frame):
    """Guards against a bad frame that is accepted or crashes a host."""
    with pytest.raises(model.PeerProtocolError):
        wireformat.decode_frame(frame)


@hypothesis.settings(derandomize=True, database=None, max_examples=300)
@hypothesis.given(strategies.binary(max_size=200))
def test_arbitrary_bytes_raise_only_protocol_errors(arbitrary_bytes):
    """Guards against an exception that ends more than one connection."""
    for frame in (arbitrary_bytes, cbor2.dumps([arbitrary_bytes])):
        try:
            wireformat.decode_frame(frame)
        except model.PeerProtocolError:
            continue


def test_oversized_message_is_rejected_by_the_sender():
    """Guards against a frame that makes the receiver end the connection."""
    with pytest.raises(model.PeerProtocolError):
        wireformat.encode_envelope(
            wireformat.EnvelopeKind.NOTIFICATION,
            0,
            SampleMessage(count=1, digest=bytes(1_048_576)),
        )
