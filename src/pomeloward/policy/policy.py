"""One version of the operators' configuration."""

import msgspec

from pomeloward import model
from pomeloward.policy import callerlimits
from pomeloward.policy import route
from pomeloward.policy import service
from pomeloward.policy import team


class Policy(msgspec.Struct, frozen=True, array_like=True):
    """One version of the operators' configuration.

    Without ``teams``, requests need no API key. A service without an entry
    in ``services`` has the default limits.
    """

    # Grows with each change to the configuration.
    version: model.Version
    routes: tuple[route.Route, ...] = ()
    services: tuple[service.Service, ...] = ()
    teams: tuple[team.Team, ...] = ()
    limits: callerlimits.CallerLimits = callerlimits.CallerLimits()
