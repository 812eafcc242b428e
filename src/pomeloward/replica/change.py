"""Changes of what the platform publishes.

Each carries the store's revision at which it was made; of two changes of the
same key, the one with the larger revision holds.
"""

import msgspec

from pomeloward import model
from pomeloward import policy as policies
from pomeloward.replica import target as targets


class PolicyChange(msgspec.Struct, frozen=True, array_like=True, tag="policy"):
    """A new configuration."""

    revision: int
    policy: policies.Policy

    @property
    def key(self) -> str:
        """The key that changed."""
        return "policy"


class TargetChange(msgspec.Struct, frozen=True, array_like=True, tag="target"):
    """A target that registered or changed its entry."""

    revision: int
    target: targets.Target

    @property
    def key(self) -> str:
        """The key that changed."""
        return f"target/{self.target.id}"


class TargetRemoval(msgspec.Struct, frozen=True, array_like=True, tag="gone"):
    """A target whose entry was removed."""

    revision: int
    target: model.TargetId

    @property
    def key(self) -> str:
        """The key that changed."""
        return f"target/{self.target}"


class ZoneChange(msgspec.Struct, frozen=True, array_like=True, tag="zone"):
    """An availability zone that is taken out of service or back."""

    revision: int
    zone: model.ZoneId
    is_out: bool

    @property
    def key(self) -> str:
        """The key that changed."""
        return f"zone/{self.zone}"


Change = PolicyChange | TargetChange | TargetRemoval | ZoneChange
