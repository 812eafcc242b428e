"""Tests of the frames between hosts."""

import cbor2
import hypothesis
from hypothesis import strategies
import pytest

from pomeloward import model
from pomeloward import peer
from pomeloward.peer import wireformat


class Sample(peer.Message, frozen=True, tag="wire-sample"):
    count: int
    names: tuple[str, ...] = ()
    digest: bytes = b""


def _frame(*envelopes: object) -> bytes:
    return cbor2.dumps([cbor2.dumps(envelope) for envelope in envelopes])


def test_messages_arrive_as_sent():
    """Guards against fields that are lost or mixed up on the way."""
    sample = Sample(count=3, names=("a", "b"), digest=b"\x00\xff")
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
    ask, no_answer = wireformat.decode_frame(frame)
    assert (ask.kind, ask.ask_id, ask.message) == (
        wireformat.EnvelopeKind.REQUEST,
        7,
        sample,
    )
    assert (no_answer.kind, no_answer.ask_id) == (
        wireformat.EnvelopeKind.NO_RESPONSE,
        8,
    )


def test_unknown_message_type_is_passed_over():
    """Guards against two releases that cut each other's connections."""
    (envelope,) = wireformat.decode_frame(
        _frame([0, ["of-a-later-release", 1]])
    )
    assert envelope.message is None


def test_later_field_is_passed_over():
    """Guards against a release that refuses a field of a later one."""
    (envelope,) = wireformat.decode_frame(
        _frame([0, ["wire-sample", 1, [], b"", "later"]])
    )
    assert envelope.message == Sample(count=1)


@pytest.mark.parametrize(
    "frame",
    [
        b"",
        b"\xff",
        cbor2.dumps("text"),
        cbor2.dumps(["text"]),
        cbor2.dumps([[0, ["wire-sample", 1]]]),
        _frame(["x", ["wire-sample", 1]]),
        _frame([9, ["wire-sample", 1]]),
        _frame([True, ["wire-sample", 1]]),
        _frame([1, -1, ["wire-sample", 1]]),
        _frame([1, ["wire-sample", 1]]),
        _frame([0, ["wire-sample", "one"]]),
        _frame([0, ["wire-sample", 1.5]]),
        _frame([0, ["wire-sample"]]),
        _frame([0, ["wire-sample", 1, [1]]]),
        _frame([0, [5, 1]]),
        _frame([0, {"type": "wire-sample"}]),
        _frame([0, ["wire-sample", 2**80]]),
        _frame([0, ["wire-sample", cbor2.CBORTag(35, "(a+)+")]]),
        _frame([0, ["wire-sample", cbor2.CBORTag(6000, 1)]]),
        _frame([0, ["wire-sample", 1]])[:-2],
        cbor2.dumps([b"\x81" * 100_000]),
        b"\x9b" + b"\xff" * 8,
        cbor2.dumps([b"\x5b" + b"\x7f" + b"\xff" * 7]),
    ],
)
def test_malformed_frames_are_refused(frame):
    """Guards against a peer that harms a host with a malformed frame."""
    with pytest.raises(model.PeerProtocolError):
        wireformat.decode_frame(frame)


@hypothesis.settings(derandomize=True, database=None, max_examples=300)
@hypothesis.given(strategies.binary(max_size=200))
def test_arbitrary_bytes_raise_only_protocol_errors(frame):
    """Guards against an exception that ends more than a connection."""
    for attempt in (frame, cbor2.dumps([frame])):
        try:
            wireformat.decode_frame(attempt)
        except model.PeerProtocolError:
            continue


def test_oversized_message_is_refused_by_the_sender():
    """Guards against a frame that the receiver would cut off."""
    with pytest.raises(model.PeerProtocolError):
        wireformat.encode_envelope(
            wireformat.EnvelopeKind.NOTIFICATION,
            0,
            Sample(count=1, digest=bytes(1_048_576)),
        )
