"""Changes to the configuration, targets and zones in the platform's store.

Each change carries the store's revision at which it was made. Of two changes
of the same key, the one with the larger revision applies.
"""

import msgspec

from pomeloward import model
from pomeloward import policy as policies
from pomeloward.replica import target as targets


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

    @property
    def key(self) -> str:
        """The key in the replica that the change applies to."""
        return f"target/{self.target.id}"


class TargetRemoval(msgspec.Struct, frozen=True, array_like=True, tag="gone"):
    """A target whose entry was removed."""

    revision: int
    # The id of the target, not its entry.
    target: model.TargetId

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
