"""A published change of the configuration."""

import msgspec

from pomeloward import model
from pomeloward import origin
from pomeloward.catalog import kind
from pomeloward.catalog import records


class Deletion(msgspec.Struct, frozen=True):
    """Removes a record; ``id`` is its identity as ``kind.name_of`` has it."""

    kind: kind.Kind
    id: str


class Change(msgspec.Struct, frozen=True):
    """Records to put and delete, made against the version ``base``.

    A change applies only to its base, as a whole or not at all. A rejected
    change uses up its version; the next one names the last accepted version
    as its base.
    """

    base: model.Version
    version: model.Version
    put: tuple[records.Record, ...] = ()
    delete: tuple[Deletion, ...] = ()


_DECODER = msgspec.json.Decoder(Change)
_ENCODER = msgspec.json.Encoder()


def encode_change(change: Change) -> bytes:
    """Return the JSON of a change, as the platform holds it."""
    return _ENCODER.encode(change)


def decode_change(payload: bytes) -> Change:
    """Read a change; raises ``ConfigurationError`` when it is malformed."""
    try:
        return _DECODER.decode(payload)
    except origin.MALFORMED as error:
        raise model.ConfigurationError(f"malformed change: {error}") from error
