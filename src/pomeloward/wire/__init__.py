"""HTTP/1.1 connections to targets and hosts, over sockets without buffers."""

from pomeloward.wire.connection import ConnectionSettings as ConnectionSettings
from pomeloward.wire.connectionuse import ConnectionUse as ConnectionUse
from pomeloward.wire.connectionuse import SEND_STARTED as SEND_STARTED
from pomeloward.wire.requestidentity import (
    IDENTITY_EXTENSION as IDENTITY_EXTENSION,
)
from pomeloward.wire.requestidentity import RequestIdentity as RequestIdentity
from pomeloward.wire.straybytes import Place as Place
from pomeloward.wire.straybytes import StrayBytes as StrayBytes
from pomeloward.wire.straybytes import StrayObserver as StrayObserver
from pomeloward.wire.transport import (
    NEW_CONNECTION_EXTENSION as NEW_CONNECTION_EXTENSION,
)
from pomeloward.wire.transport import Transport as Transport
