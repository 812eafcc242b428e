"""Decodes the entries that targets register in the platform's store."""

import re
import typing

import msgspec

from pomeloward import model
from pomeloward import replica

_KNOWN_STATES = frozenset({"ready", "draining"})
# The id is sent to the target in a header.
_ID = re.compile(r"[!-~]{1,200}")
# Hosts compare and hash these numbers, and tell them to each other, as
# integers of 64 bits.
_Counter = typing.Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
_Slots = typing.Annotated[int, msgspec.Meta(le=1_000_000)]
_Name = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=200)]


class _TargetEntry(msgspec.Struct, rename="kebab"):
    service: _Name
    # The target's ``ip:port``.
    address: str
    zone: _Name
    # Requests that the target runs at the same time.
    max_concurrency: _Slots
    state: str
    # Seconds until the target has warmed up.
    warmup_left_s: float = 0.0
    # Unix time of the target's start, in ms.
    born: _Counter = 0
    # Counts the target's reports since its start.
    sequence: _Counter = 0


_DECODER = msgspec.json.Decoder(_TargetEntry)
# Characters of an invalid field that an error message repeats.
_MAX_QUOTED = 40


def decode_target_entry(
    target_id: model.TargetId, payload: bytes, revision: int
) -> replica.TargetChange:
    """Return the change to the target that a JSON entry describes.

    Raises ``ConfigurationError`` for an entry that lacks a field, has one of
    another type or out of range, or has an id, an address or a state that is
    not valid.
    """
    if not _ID.fullmatch(target_id):
        raise model.ConfigurationError(f"{target_id!r} is not a target's id")
    try:
        entry = _DECODER.decode(payload)
    except (msgspec.MsgspecError, UnicodeError, RecursionError) as error:
        raise model.ConfigurationError(
            f"entry of {target_id}: {error}"
        ) from error
    if not model.is_endpoint(entry.address):
        raise model.ConfigurationError(
            f"entry of {target_id}: address {entry.address[:_MAX_QUOTED]!r} "
            "is not ip:port"
        )
    if entry.state not in _KNOWN_STATES:
        raise model.ConfigurationError(
            f"entry of {target_id}: unknown state "
            f"{entry.state[:_MAX_QUOTED]!r}"
        )
    target = replica.Target(
        id=target_id,
        service=model.ServiceId(entry.service),
        address=entry.address,
        zone=model.ZoneId(entry.zone),
        slots=max(1, entry.max_concurrency),
        is_leaving=entry.state == "draining",
        is_cold=entry.warmup_left_s > 0,
        started_ms=entry.born,
    )
    return replica.TargetChange(revision, target, entry.sequence)
