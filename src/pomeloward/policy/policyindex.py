"""Look-ups of routes, teams and services in a policy."""

import hashlib

from pomeloward import model
from pomeloward.policy import policy as policies
from pomeloward.policy import route as routes
from pomeloward.policy import service as services
from pomeloward.policy import team as teams


def hash_api_key(api_key: bytes) -> bytes:
    """Return the SHA-256 digest that a policy holds instead of an API key."""
    return hashlib.sha256(api_key).digest()


class PolicyIndex:
    """Finds routes by host and path, teams by API key, and services by id.

    Example::

        index = PolicyIndex(policy)
        route = index.find_route("api.example", "/orders/7")
    """

    def __init__(self, policy: policies.Policy) -> None:
        self.policy = policy
        self._routes_by_host: dict[str, dict[str, routes.Route]] = {}
        for route in policy.routes:
            self._routes_by_host.setdefault(route.host, {})[route.prefix] = (
                route
            )
        self._teams_by_key_digest = {
            key_digest: team
            for team in policy.teams
            for key_digest in team.digests
        }
        self._services_by_id = {
            service.id: service for service in policy.services
        }

    @property
    def has_teams(self) -> bool:
        """Whether the policy has teams.

        If so, requests need an API key, except on public routes.
        """
        return bool(self.policy.teams)

    def find_route(self, host: str, path: str) -> routes.Route | None:
        """Return the route of a host with the longest prefix of a path.

        A prefix ends with a slash, so ``/orders/`` is no prefix of
        ``/orders``. ``host`` is in lower case and has no port.
        """
        routes_by_prefix = self._routes_by_host.get(host)
        if routes_by_prefix is None:
            return None
        slash_index = path.rfind("/")
        while slash_index >= 0:
            route = routes_by_prefix.get(path[: slash_index + 1])
            if route is not None:
                return route
            slash_index = path.rfind("/", 0, slash_index)
        return None

    def find_team(self, key_digest: bytes) -> teams.Team | None:
        """Return the team that has an API key with this SHA-256 digest."""
        return self._teams_by_key_digest.get(key_digest)

    def service_or_default(
        self, service_id: model.ServiceId
    ) -> services.Service:
        """Return a service, with default limits if the policy has no entry."""
        service = self._services_by_id.get(service_id)
        return service if service is not None else services.Service(service_id)
