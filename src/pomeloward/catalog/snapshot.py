"""Snapshots of a configuration in shards that fit the platform."""

import collections.abc

import msgspec

from pomeloward import model
from pomeloward import origin
from pomeloward.catalog import configuration
from pomeloward.catalog import records

# Leaves room below the platform's limit of 1 MB for a value.
MAX_SHARD_BYTES = 900_000

_ENCODER = msgspec.json.Encoder()
_DECODER = msgspec.json.Decoder(tuple[records.Record, ...])


def encode_shards(
    view: configuration.Configuration, max_bytes: int = MAX_SHARD_BYTES
) -> list[bytes]:
    """Return JSON lists of records, each of at most ``max_bytes``."""
    shards: list[bytes] = []
    part: list[bytes] = []
    size = 0
    for record in view.contents():
        encoded = _ENCODER.encode(record)
        if part and size + len(encoded) + 2 > max_bytes:
            shards.append(b"[" + b",".join(part) + b"]")
            part, size = [], 0
        part.append(encoded)
        size += len(encoded) + 1
    shards.append(b"[" + b",".join(part) + b"]")
    return shards


def decode_shards(
    shards: collections.abc.Iterable[bytes],
) -> collections.abc.Iterator[records.Record]:
    """Iterate over the records of shards.

    Raises ``ConfigurationError`` when a shard is malformed.
    """
    for shard in shards:
        try:
            yield from _DECODER.decode(shard)
        except origin.MALFORMED as error:
            raise model.ConfigurationError(
                f"malformed snapshot: {error}"
            ) from error
