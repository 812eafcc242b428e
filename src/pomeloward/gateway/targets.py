"""Looks up targets in the configuration in force."""

import collections.abc

from pomeloward import catalog
from pomeloward import model


class Targets:
    """Indexes the targets of a service when they are first needed.

    A change of the configuration must not cost a look at each of the 9,800
    targets of the planned size.
    """

    def __init__(
        self, view: collections.abc.Callable[[], catalog.View]
    ) -> None:
        self._view = view
        self._indexed: catalog.View | None = None
        self._services: dict[
            model.ServiceId, dict[model.TargetId, catalog.Target]
        ] = {}

    def target(
        self, service: model.ServiceId, target: model.TargetId
    ) -> catalog.Target | None:
        """Return the record of a service's target, None when it is gone."""
        return self._index(service).get(target)

    def find(self, target: model.TargetId) -> catalog.Target | None:
        """Return a target's record by its id alone, which takes longer."""
        for service in self._view().services():
            found = self._index(service.id).get(target)
            if found is not None:
                return found
        return None

    def count(self, service: model.ServiceId) -> int:
        """Return the number of targets of a service."""
        return len(self._index(service))

    def connections(self, target: catalog.Target) -> int:
        """Return this host's share of a target's connections."""
        view = self._view()
        service = view.service(target.service)
        if service is None:
            return 1
        hosts = max(1, sum(1 for _ in view.hosts()))
        return max(2, service.connections_per_target // hosts)

    def _index(
        self, service: model.ServiceId
    ) -> dict[model.TargetId, catalog.Target]:
        view = self._view()
        if view is not self._indexed:
            self._indexed = view
            self._services = {}
        found = self._services.get(service)
        if found is None:
            found = {target.id: target for target in view.targets(service)}
            self._services[service] = found
        return found
