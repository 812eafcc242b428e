"""Relays HTTP requests from callers to targets, and the responses back."""

from pomeloward.relay.admission import AdmissionControl as AdmissionControl
from pomeloward.relay.admittedrequest import AdmittedRequest as AdmittedRequest
from pomeloward.relay.application import Application as Application
from pomeloward.relay.directforwarder import DirectForwarder as DirectForwarder
from pomeloward.relay.forwarder import Forwarder as Forwarder
from pomeloward.relay.heldbytes import HeldBytes as HeldBytes
from pomeloward.relay.httpconventions import HttpConventions as HttpConventions
from pomeloward.relay.openrequests import OpenRequests as OpenRequests
from pomeloward.relay.pathmonitor import PathMonitor as PathMonitor
from pomeloward.relay.pathprobe import PathProbe as PathProbe
from pomeloward.relay.pathwatcher import PathWatcher as PathWatcher
from pomeloward.relay.peerrelay import PeerEndpoint as PeerEndpoint
from pomeloward.relay.peerrelay import PeerRelay as PeerRelay
from pomeloward.relay.relayedrequestforwarder import (
    RelayedRequestForwarder as RelayedRequestForwarder,
)
from pomeloward.relay.relayingforwarder import (
    RelayingForwarder as RelayingForwarder,
)
from pomeloward.relay.requestlogentry import RequestLogEntry as RequestLogEntry
from pomeloward.relay.slotallocator import SlotAllocator as SlotAllocator
from pomeloward.relay.targetclient import TargetClient as TargetClient
from pomeloward.relay.targetprobe import TargetProbe as TargetProbe
from pomeloward.relay.targetprobe import TcpTargetProbe as TcpTargetProbe
