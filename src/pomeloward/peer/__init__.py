"""Authenticated connections between hosts, CBOR over websockets."""

from pomeloward.peer.message import Message as Message
from pomeloward.peer.peers import Handler as Handler
from pomeloward.peer.peers import Peers as Peers
