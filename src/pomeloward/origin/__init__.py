"""Reads the platform's configuration service and host list."""

from pomeloward.origin.head import change_name as change_name
from pomeloward.origin.head import decode_head as decode_head
from pomeloward.origin.head import Head as Head
from pomeloward.origin.head import HEAD_NAME as HEAD_NAME
from pomeloward.origin.head import snapshot_name as snapshot_name
from pomeloward.origin.hostentry import HostEntry as HostEntry
from pomeloward.origin.hostentry import ListedState as ListedState
from pomeloward.origin.http import HttpPlatform as HttpPlatform
from pomeloward.origin.malformed import MALFORMED as MALFORMED
from pomeloward.origin.protocol import Platform as Platform
from pomeloward.origin.readbudget import (
    BOOTSTRAP_SPREAD_MS as BOOTSTRAP_SPREAD_MS,
)
from pomeloward.origin.readbudget import ReadBudget as ReadBudget
from pomeloward.origin.reader import Reader as Reader
from pomeloward.origin.readerchoice import ReaderChoice as ReaderChoice
from pomeloward.origin.rendezvous import ranked as ranked
from pomeloward.origin.sink import Sink as Sink
from pomeloward.origin.value import MAX_VALUE_BYTES as MAX_VALUE_BYTES
from pomeloward.origin.value import Value as Value
