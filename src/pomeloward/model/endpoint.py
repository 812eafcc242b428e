"""Addresses with ports in text from outside."""

import ipaddress
import re

_PORT = re.compile(r"[0-9]{1,5}")
_MAX_PORT = 65_535


def is_endpoint(text: str) -> bool:
    """Return whether a text is an IPv4 address and a port that exists.

    Example::

        is_endpoint("10.0.0.1:65535")  # True
    """
    ip_address, _, port = text.rpartition(":")
    if not _PORT.fullmatch(port) or not 0 < int(port) <= _MAX_PORT:
        return False
    try:
        ipaddress.IPv4Address(ip_address)
    except ValueError:
        return False
    return True
