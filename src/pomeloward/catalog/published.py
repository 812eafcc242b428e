"""Reads configurations from files and from the platform."""

import msgspec

from pomeloward import model
from pomeloward import origin
from pomeloward.catalog import change
from pomeloward.catalog import configuration
from pomeloward.catalog import records
from pomeloward.catalog import snapshot


class ConfigurationFile(msgspec.Struct):
    """A configuration in a file: its version and records."""

    version: model.Version
    records: tuple[records.Record, ...]


_Whole = ConfigurationFile | tuple[records.Record, ...]


def parse_file(payload: bytes) -> configuration.Configuration:
    """Read an object with version and records, or a list of records.

    A list has version 1. Raises ``ConfigurationError``.
    """
    try:
        found = msgspec.json.decode(payload, type=_Whole)
    except origin.MALFORMED as error:
        raise model.ConfigurationError(
            f"malformed configuration: {error}"
        ) from error
    if isinstance(found, ConfigurationFile):
        return configuration.Configuration.of_records(
            found.version, found.records
        )
    return configuration.Configuration.of_records(model.Version(1), found)


async def read_published(
    source: origin.Platform,
) -> configuration.Configuration:
    """Return the configuration that hosts accept from the platform.

    Raises ``PlatformUnavailable``, also when a value is missing, and
    ``ConfigurationError``. Changes that hosts reject are passed over.
    """
    head = origin.decode_head(await _read(source, origin.HEAD_NAME))
    found = configuration.Configuration.empty()
    if head.snapshot_version:
        shards = [
            await _read(
                source, origin.snapshot_name(head.snapshot_version, shard)
            )
            for shard in range(head.shards)
        ]
        found = configuration.Configuration.of_records(
            head.snapshot_version, snapshot.decode_shards(shards)
        )
    for version in range(found.version + 1, head.version + 1):
        payload = await _read(source, origin.change_name(version))
        try:
            found = found.applied(change.decode_change(payload))
        except model.ConfigurationError:
            continue
    return found


async def _read(source: origin.Platform, name: str) -> bytes:
    value = await source.read(name)
    if value is None:
        raise model.PlatformUnavailable(f"{name} does not exist")
    return value.payload
