"""Changes to the configuration, targets and zones in the platform's store.

Each change carries the revision at which it was made (see ``revision``). Of
two configurations the newer version applies; ``precedence`` tells which of two
other changes of the same key does.
"""

import msgspec

from pomeloward import model
from pomeloward import policy as policies
from pomeloward.replica import target as targets

# The start of a target in Unix ms, and the number of its report since then.
LastReport = tuple[int, int]
NO_REPORT: LastReport = (0, 0)


class PolicyChange(msgspec.Struct, frozen=True, array_like=True, tag="policy"):
    """A new version of the policy, which is the operators' configuration."""

    revision: int
    policy: policies.Policy

    @property
    def key(self) -> str:
        """The key in the replica that the change applies to."""
        return "policy"


class TargetChange(msgspec.Struct, frozen=True, array_like=True, tag="target"):
    """A target that registered or updated its entry."""

    revision: int
    target: targets.Target
    # Counts the target's reports since its start.
    sequence: int = 0

    @property
    def key(self) -> str:
        """The key in the replica that the change applies to."""
        return f"target/{self.target.id}"

    @property
    def last_report(self) -> LastReport:
        """The start and the sequence of the report that this entry is."""
        return self.target.started_ms, self.sequence


class TargetRemoval(msgspec.Struct, frozen=True, array_like=True, tag="gone"):
    """A target whose entry was removed."""

    revision: int
    # The id of the target, not its entry.
    target: model.TargetId
    # The last report before the removal, ``NO_REPORT`` if it is not known.
    last_report: LastReport = NO_REPORT

    @property
    def key(self) -> str:
        """The key in the replica that the change applies to."""
        return f"target/{self.target}"


class ZoneChange(msgspec.Struct, frozen=True, array_like=True, tag="zone"):
    """An availability zone that was taken out of service or put back."""

    revision: int
    zone: model.ZoneId
    # Whether the zone is out of service.
    is_out: bool

    @property
    def key(self) -> str:
        """The key in the replica that the change applies to."""
        return f"zone/{self.zone}"


Change = PolicyChange | TargetChange | TargetRemoval | ZoneChange
