"""Slots of targets, gray detection, the floor and slow start."""

from pomeloward.service.client import Probe as Probe
from pomeloward.service.client import ServiceClient as ServiceClient
from pomeloward.service.controllers import Controllers as Controllers
from pomeloward.service.outcome import Outcome as Outcome
from pomeloward.service.slothold import SlotHold as SlotHold
from pomeloward.service.targetstate import TargetState as TargetState
from pomeloward.service.tuning import Tuning as Tuning
