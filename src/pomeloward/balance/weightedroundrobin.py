"""Splits a route's requests among its services by weight."""

from pomeloward import model
from pomeloward import policy as policies


class WeightedRoundRobin:
    """Smooth weighted round-robin with separate state for each route.

    For each request, each service's current weight grows by its configured
    weight. The service with the highest current weight is selected, and the
    sum of all weights is subtracted from it. So any sequence of requests is
    split nearly in proportion to the weights.
    """

    def __init__(self) -> None:
        self._state_by_route: dict[
            model.RouteId,
            tuple[
                tuple[policies.WeightedService, ...],
                dict[model.ServiceId, float],
            ],
        ] = {}

    def select_service(self, route: policies.Route) -> model.ServiceId:
        """Return the service for the next request on a route."""
        if len(route.splits) == 1:
            return route.splits[0].service
        state = self._state_by_route.get(route.id)
        if state is None or state[0] != route.splits:
            initial_weights = {split.service: 0.0 for split in route.splits}
            state = (route.splits, initial_weights)
            self._state_by_route[route.id] = state
        current_weights = state[1]
        for split in route.splits:
            current_weights[split.service] += split.weight
        selected = max(
            current_weights, key=lambda service: current_weights[service]
        )
        current_weights[selected] -= sum(
            split.weight for split in route.splits
        )
        return selected
