"""Paths and formats of address lookups and readiness probes."""

import collections.abc
import urllib.parse

import msgspec

from pomeloward import model


class AddressLookupFormat:
    """Decodes callers' address lookups and encodes the responses."""

    address_path = "/resolve"
    # Path of the readiness probe.
    ready_path = "/ready"

    def parse_caller_zone(self, query: bytes) -> model.ZoneId:
        """Return the caller's zone from a lookup's query string.

        The zone is empty when the query string names none.
        """
        parameters = urllib.parse.parse_qs(query.decode("latin-1"))
        return model.ZoneId(parameters.get("zone", [""])[0])

    def encode_addresses(
        self, hosts: collections.abc.Sequence[str], lifetime_ms: float
    ) -> bytes:
        """Return the JSON body that lists the ``ip:port`` of hosts.

        Callers may use the addresses for ``lifetime_ms``.
        """
        return msgspec.json.encode(
            {"addresses": list(hosts), "ttl-s": lifetime_ms / 1_000}
        )
