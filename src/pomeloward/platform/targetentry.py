"""Decodes what servers write about themselves."""

import msgspec

from pomeloward import model
from pomeloward import replica

_STATES = frozenset({"ready", "draining"})


class _Entry(msgspec.Struct, rename="kebab"):
    service: str
    address: str
    zone: str
    # Requests that the server runs at the same time.
    max_concurrency: int
    state: str
    # How much longer the server stays cold, in seconds.
    warmup_left_s: float = 0.0
    # Unix time of the server's start, in ms.
    born: int = 0


_DECODER = msgspec.json.Decoder(_Entry)


def decode_target_entry(
    target: model.TargetId, payload: bytes
) -> replica.Target:
    """Return a registered target.

    Raises ``ConfigurationError`` for an entry that lacks a field, has one of
    another type, or a state that isn't known.
    """
    try:
        entry = _DECODER.decode(payload)
    except (msgspec.MsgspecError, UnicodeError, RecursionError) as error:
        raise model.ConfigurationError(
            f"entry of {target}: {error}"
        ) from error
    ip_address, _, port = entry.address.rpartition(":")
    if not ip_address or not port.isdigit():
        raise model.ConfigurationError(
            f"entry of {target}: no address: {entry.address!r}"
        )
    if entry.state not in _STATES or not entry.service:
        raise model.ConfigurationError(
            f"entry of {target}: unknown state {entry.state!r}"
        )
    return replica.Target(
        id=target,
        service=model.ServiceId(entry.service),
        address=entry.address,
        zone=model.ZoneId(entry.zone),
        slots=max(1, entry.max_concurrency),
        is_leaving=entry.state == "draining",
        is_cold=entry.warmup_left_s > 0,
        started_ms=entry.born,
    )
