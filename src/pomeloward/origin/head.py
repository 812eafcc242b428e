"""The head of the published configuration."""

import msgspec

from pomeloward import model
from pomeloward.origin import malformed

HEAD_NAME = "head"


class Head(msgspec.Struct, frozen=True):
    """The newest version and the newest snapshot with its shard count."""

    version: model.Version
    snapshot_version: model.Version = model.Version(0)
    shards: int = 0


_DECODER = msgspec.json.Decoder(Head)


def decode_head(payload: bytes) -> Head:
    """Read the head; raises ``ConfigurationError`` when malformed."""
    try:
        return _DECODER.decode(payload)
    except malformed.MALFORMED as error:
        raise model.ConfigurationError(f"malformed head: {error}") from error


def change_name(version: int) -> str:
    """Return the name of the value that holds a change."""
    return f"change/{version}"


def snapshot_name(version: int, shard: int) -> str:
    """Return the name of the value that holds a shard of a snapshot."""
    return f"snapshot/{version}/{shard}"
