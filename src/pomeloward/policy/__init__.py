"""The operators' configuration: routes, services, teams and limits."""

from pomeloward.policy.callerlimits import CallerLimits as CallerLimits
from pomeloward.policy.policy import Policy as Policy
from pomeloward.policy.policyindex import hash_api_key as hash_api_key
from pomeloward.policy.policyindex import PolicyIndex as PolicyIndex
from pomeloward.policy.route import Route as Route
from pomeloward.policy.route import WeightedService as WeightedService
from pomeloward.policy.service import Service as Service
from pomeloward.policy.team import Team as Team
