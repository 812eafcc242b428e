"""Look-ups in a configuration."""

import hashlib

from pomeloward import model
from pomeloward.policy import policy as policies
from pomeloward.policy import route as routes
from pomeloward.policy import service as services
from pomeloward.policy import team as teams


def hash_api_key(key: bytes) -> bytes:
    """Return the digest by which a key is known."""
    return hashlib.sha256(key).digest()


class PolicyIndex:
    """Finds routes by host and path, and teams by key.

    Example::

        index = PolicyIndex(policy)
        route = index.find_route("api.example", "/orders/7")
    """

    def __init__(self, policy: policies.Policy) -> None:
        self.policy = policy
        self._routes: dict[str, dict[str, routes.Route]] = {}
        for route in policy.routes:
            self._routes.setdefault(route.host, {})[route.prefix] = route
        self._teams = {
            digest: team for team in policy.teams for digest in team.digests
        }
        self._services = {one.id: one for one in policy.services}

    @property
    def has_teams(self) -> bool:
        """Whether requests need a key, except on public routes."""
        return bool(self.policy.teams)

    def find_route(self, host: str, path: str) -> routes.Route | None:
        """Return the route with the longest prefix of a path."""
        of_host = self._routes.get(host)
        if of_host is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            found = of_host.get(path[: end + 1])
            if found is not None:
                return found
            end = path.rfind("/", 0, end)
        return None

    def find_team(self, digest: bytes) -> teams.Team | None:
        """Return the team that holds a key."""
        return self._teams.get(digest)

    def service_or_default(self, service: model.ServiceId) -> services.Service:
        """Return a service; one without an entry has the defaults."""
        found = self._services.get(service)
        return found if found is not None else services.Service(service)
