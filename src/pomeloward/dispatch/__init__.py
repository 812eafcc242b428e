"""Requests to targets: attempts, retries, hedging and deadlines."""

from pomeloward.dispatch.answer import Answer as Answer
from pomeloward.dispatch.answer import AnswerCut as AnswerCut
from pomeloward.dispatch.dispatcher import Dispatcher as Dispatcher
from pomeloward.dispatch.evidence import RunEvidence as RunEvidence
from pomeloward.dispatch.failed import Failed as Failed
from pomeloward.dispatch.failure import REQUEST_ID_HEADER as REQUEST_ID_HEADER
from pomeloward.dispatch.head import announced_idle_ms as announced_idle_ms
from pomeloward.dispatch.head import clean as clean
from pomeloward.dispatch.head import HOP_BY_HOP as HOP_BY_HOP
from pomeloward.dispatch.links import host_and_port as host_and_port
from pomeloward.dispatch.links import Links as Links
from pomeloward.dispatch.reachable import Reachable as Reachable
from pomeloward.dispatch.request import Body as Body
from pomeloward.dispatch.request import Headers as Headers
from pomeloward.dispatch.request import TargetRequest as TargetRequest
from pomeloward.dispatch.sender import Sender as Sender
from pomeloward.dispatch.steps import Admission as Admission
from pomeloward.dispatch.steps import SlotHold as SlotHold
from pomeloward.dispatch.steps import SpareSlots as SpareSlots
from pomeloward.dispatch.steps import Targets as Targets
from pomeloward.dispatch.straylog import StrayLog as StrayLog
