"""Reads the platform's configuration service and host list."""

from pomeloward.platform.head import change_name as change_name
from pomeloward.platform.head import decode_head as decode_head
from pomeloward.platform.head import Head as Head
from pomeloward.platform.head import HEAD_NAME as HEAD_NAME
from pomeloward.platform.head import snapshot_name as snapshot_name
from pomeloward.platform.hostentry import HostEntry as HostEntry
from pomeloward.platform.hostentry import ListedState as ListedState
from pomeloward.platform.http import HttpPlatform as HttpPlatform
from pomeloward.platform.malformed import MALFORMED as MALFORMED
from pomeloward.platform.protocol import Platform as Platform
from pomeloward.platform.readbudget import (
    BOOTSTRAP_SPREAD_MS as BOOTSTRAP_SPREAD_MS,
)
from pomeloward.platform.readbudget import ReadBudget as ReadBudget
from pomeloward.platform.reader import Reader as Reader
from pomeloward.platform.readerchoice import ReaderChoice as ReaderChoice
from pomeloward.platform.rendezvous import ranked as ranked
from pomeloward.platform.sink import Sink as Sink
from pomeloward.platform.value import MAX_VALUE_BYTES as MAX_VALUE_BYTES
from pomeloward.platform.value import Value as Value
