"""The callers' side: HTTP, websockets and the host's own endpoints."""

from pomeloward.entry.admin import Admin as Admin
from pomeloward.entry.application import Application as Application
from pomeloward.entry.body import BodyNotReadable as BodyNotReadable
from pomeloward.entry.body import BodyTooLarge as BodyTooLarge
from pomeloward.entry.body import CallerGone as CallerGone
from pomeloward.entry.body import RequestBody as RequestBody
from pomeloward.entry.callertimes import CallerTimes as CallerTimes
from pomeloward.entry.connection import Connection as Connection
from pomeloward.entry.gatekeeper import Gatekeeper as Gatekeeper
from pomeloward.entry.handler import Handler as Handler
from pomeloward.entry.openwork import OpenWork as OpenWork
from pomeloward.entry.orderhandler import OrderHandler as OrderHandler
from pomeloward.entry.recorder import Recorder as Recorder
from pomeloward.entry.server import Server as Server
from pomeloward.entry.steps import AddressAnswer as AddressAnswer
from pomeloward.entry.steps import AddressBook as AddressBook
from pomeloward.entry.steps import Budget as Budget
from pomeloward.entry.steps import Claim as Claim
from pomeloward.entry.steps import HostStatus as HostStatus
from pomeloward.entry.steps import Orders as Orders
from pomeloward.entry.targetrequests import NoBody as NoBody
from pomeloward.entry.turn import Turn as Turn
from pomeloward.entry.turn import turn_of as turn_of
from pomeloward.entry.websocket import WebsocketHandler as WebsocketHandler
from pomeloward.entry.websockettargets import (
    WebsocketTargets as WebsocketTargets,
)
