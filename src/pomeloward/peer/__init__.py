"""Authenticated connections between hosts, CBOR over websockets."""

from pomeloward.peer.directory import Directory as Directory
from pomeloward.peer.identity import Identity as Identity
from pomeloward.peer.link import Link as Link
from pomeloward.peer.link import OpenLink as OpenLink
from pomeloward.peer.message import Message as Message
from pomeloward.peer.message import wire_tag as wire_tag
from pomeloward.peer.peers import MessageHandler as MessageHandler
from pomeloward.peer.peers import Peers as Peers
from pomeloward.peer.shell import WebsocketPeers as WebsocketPeers
from pomeloward.peer.traffic import Count as Count
from pomeloward.peer.traffic import Traffic as Traffic
