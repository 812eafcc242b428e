"""Selects targets for requests from the health that this host observes."""

from pomeloward.balance.attempt import Attempt as Attempt
from pomeloward.balance.balancer import Balancer as Balancer
from pomeloward.balance.balancer import (
    HEALTH_REPORT_INTERVAL_MS as HEALTH_REPORT_INTERVAL_MS,
)
from pomeloward.balance.latency import LatencyEstimator as LatencyEstimator
from pomeloward.balance.messages import TargetLimit as TargetLimit
from pomeloward.balance.messages import TargetLimitReport as TargetLimitReport
from pomeloward.balance.messages import UnhealthyTargets as UnhealthyTargets
from pomeloward.balance.outcome import Outcome as Outcome
from pomeloward.balance.targethealth import SHED_PAUSE_MS as SHED_PAUSE_MS
from pomeloward.balance.targethealth import TargetHealth as TargetHealth
from pomeloward.balance.targetlimits import (
    LIMIT_REPORT_INTERVAL_MS as LIMIT_REPORT_INTERVAL_MS,
)
from pomeloward.balance.targetlimits import TargetLimits as TargetLimits
from pomeloward.balance.targetnotices import TargetNotice as TargetNotice
from pomeloward.balance.weightedroundrobin import (
    WeightedRoundRobin as WeightedRoundRobin,
)
