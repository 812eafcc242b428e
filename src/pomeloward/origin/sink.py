"""Where the reader delivers what it read."""

import typing

from pomeloward import model


class Sink(typing.Protocol):
    """Takes published values; it decides by itself what to accept."""

    def accepted_version(self) -> model.Version:
        """Return the version in force."""

    def on_published_change(self, payload: bytes, now_ms: float) -> None:
        """Take the bytes of one change."""

    async def on_published_snapshot(
        self,
        version: model.Version,
        shards: list[bytes],
    ) -> None:
        """Take all shards of a snapshot; the list is emptied."""
