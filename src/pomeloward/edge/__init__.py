"""Runs a host of the fleet that proxies requests to the users' targets."""

from pomeloward.edge.edgeserver import EdgeServer as EdgeServer
from pomeloward.edge.hostinfo import (
    AddressLookupProtocol as AddressLookupProtocol,
)
