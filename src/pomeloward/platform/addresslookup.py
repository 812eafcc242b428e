"""The form of the address answer."""

import collections.abc
import urllib.parse

import msgspec

from pomeloward import model


class AddressLookupFormat:
    """Reads callers' questions for addresses and writes the answers."""

    address_path = "/resolve"
    ready_path = "/ready"

    def caller_zone(self, query: bytes) -> model.ZoneId:
        """Return the availability zone of a caller that asks."""
        given = urllib.parse.parse_qs(query.decode("latin-1"))
        return model.ZoneId(given.get("zone", [""])[0])

    def addresses(
        self, hosts: collections.abc.Sequence[str], lifetime_ms: float
    ) -> bytes:
        """Return the body that names where to connect."""
        return msgspec.json.encode(
            {"addresses": list(hosts), "ttl-s": lifetime_ms / 1_000}
        )
