"""A caller's request as it goes to a target."""

import collections.abc
import dataclasses
import typing

from pomeloward import catalog
from pomeloward import model
from pomeloward.dispatch import evidence as evidences

Headers = list[tuple[bytes, bytes]]


class Body(typing.Protocol):
    """The body of a caller's request."""

    @property
    def can_replay(self) -> bool:
        """Whether another attempt can get the body after this one."""

    @property
    def can_share(self) -> bool:
        """Whether another attempt can get the body beside this one."""

    @property
    def is_ended(self) -> bool:
        """Whether the caller has sent the whole body."""

    def chunks(self) -> collections.abc.AsyncIterator[bytes]:
        """Iterate over the body from its start."""


def _always(now_ms: float) -> bool:
    """Stand for the permit of a request that needs none."""
    return True


@dataclasses.dataclass(slots=True)
class TargetRequest:
    """What to send, for whom, and under which permission.

    ``headers`` are free of callers' keys and of connection headers.
    ``deadline_ms`` is the time by which the answer's headers must have
    come. ``weight`` is the team's in the queue. ``may_send`` is asked
    immediately before the first byte. ``refused_by`` are the targets that
    have proved once that they did not run it.
    """

    id: model.RequestId
    route: catalog.Route
    team: model.TeamId
    method: str
    target_path: bytes
    headers: Headers
    body: Body
    arrived_at_ms: float
    deadline_ms: float
    weight: float = 1.0
    may_send: collections.abc.Callable[[float], bool] = _always
    evidence: evidences.RunEvidence = dataclasses.field(
        default_factory=evidences.RunEvidence
    )
    refused_by: set[model.TargetId] = dataclasses.field(default_factory=set)
