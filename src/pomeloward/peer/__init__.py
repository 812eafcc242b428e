"""Authenticated messaging between hosts: CBOR over websockets."""

from pomeloward.peer.addressresolver import AddressResolver as AddressResolver
from pomeloward.peer.faultinjection import FaultInjector as FaultInjector
from pomeloward.peer.faultinjection import NoFaults as NoFaults
from pomeloward.peer.identity import Identity as Identity
from pomeloward.peer.message import Message as Message
from pomeloward.peer.message import wire_tag as wire_tag
from pomeloward.peer.peers import MessageHandler as MessageHandler
from pomeloward.peer.peers import Peers as Peers
from pomeloward.peer.trafficcounters import (
    MessageTypeCounters as MessageTypeCounters,
)
from pomeloward.peer.trafficcounters import TrafficCounters as TrafficCounters
from pomeloward.peer.websocketpeers import WebsocketPeers as WebsocketPeers
