"""The published interface of the platform's configuration service."""

import collections.abc
import typing

from pomeloward.origin import hostentry
from pomeloward.origin import value


class Platform(typing.Protocol):
    """Reads and watches; every method raises ``PlatformUnavailable``."""

    async def read(self, name: str) -> value.Value | None:
        """Return a value, or None when there is none of this name."""

    async def watch(
        self, name: str, after: int, wait_ms: float
    ) -> value.Value | None:
        """Return the value once its version is above ``after``.

        Returns None when it is not above it within ``wait_ms``.
        """

    async def hosts(self) -> collections.abc.Sequence[hostentry.HostEntry]:
        """Return the host list."""
