"""Chooses targets by what this host knows of them."""

from pomeloward.balance.balancer import Balancer as Balancer
from pomeloward.balance.balancer import REPORT_MS as REPORT_MS
from pomeloward.balance.ending import Ending as Ending
from pomeloward.balance.health import Health as Health
from pomeloward.balance.health import SHED_PAUSE_MS as SHED_PAUSE_MS
from pomeloward.balance.latency import Latency as Latency
from pomeloward.balance.messages import DoubtfulTargets as DoubtfulTargets
from pomeloward.balance.run import Run as Run
from pomeloward.balance.weights import Weights as Weights
