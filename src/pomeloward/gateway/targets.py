"""Looks up targets by id in the configuration in force."""

import collections.abc

from pomeloward import catalog
from pomeloward import model


class Targets:
    """Indexes the targets of each configuration once."""

    def __init__(
        self, view: collections.abc.Callable[[], catalog.View]
    ) -> None:
        self._view = view
        self._indexed: catalog.View | None = None
        self._targets: dict[model.TargetId, catalog.Target] = {}

    def target(self, target: model.TargetId) -> catalog.Target | None:
        """Return a target's record, None when it is gone."""
        return self._index().get(target)

    def count(self, service: model.ServiceId) -> int:
        """Return the number of targets of a service."""
        return len(self._view().targets(service))

    def connections(self, target: catalog.Target) -> int:
        """Return this host's share of a target's connections."""
        view = self._view()
        service = view.service(target.service)
        if service is None:
            return 1
        hosts = max(1, sum(1 for _ in view.hosts()))
        return max(2, service.connections_per_target // hosts)

    def ids(self) -> set[model.TargetId]:
        """Return all targets of the configuration in force."""
        return set(self._index())

    def _index(self) -> dict[model.TargetId, catalog.Target]:
        view = self._view()
        if view is not self._indexed:
            self._indexed = view
            self._targets = {
                target.id: target
                for service in view.services()
                for target in view.targets(service.id)
            }
        return self._targets
