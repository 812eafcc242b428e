"""Decodes the entries that targets register in the platform's store."""

import msgspec

from pomeloward import model
from pomeloward import replica

_KNOWN_STATES = frozenset({"ready", "draining"})


class _TargetEntry(msgspec.Struct, rename="kebab"):
    service: str
    # The target's ``ip:port``.
    address: str
    zone: str
    # Requests that the target runs at the same time.
    max_concurrency: int
    state: str
    # Seconds until the target has warmed up.
    warmup_left_s: float = 0.0
    # Unix time of the target's start, in ms.
    born: int = 0
    # Counts the target's reports since its start.
    sequence: int = 0


_DECODER = msgspec.json.Decoder(_TargetEntry)


def decode_target_entry(
    target_id: model.TargetId, payload: bytes, revision: int
) -> replica.TargetChange:
    """Return the change to the target that a JSON entry describes.

    Raises ``ConfigurationError`` for an entry that lacks a field, has one of
    another type, or has an address or a state that is not valid.
    """
    try:
        entry = _DECODER.decode(payload)
    except (msgspec.MsgspecError, UnicodeError, RecursionError) as error:
        raise model.ConfigurationError(
            f"entry of {target_id}: {error}"
        ) from error
    ip_address, _, port = entry.address.rpartition(":")
    if not ip_address or not port.isdigit():
        raise model.ConfigurationError(
            f"entry of {target_id}: address {entry.address!r} is not ip:port"
        )
    if entry.state not in _KNOWN_STATES or not entry.service:
        raise model.ConfigurationError(
            f"entry of {target_id}: unknown state {entry.state!r} or "
            "empty service"
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
