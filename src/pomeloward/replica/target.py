"""A target as it is registered in the platform's store."""

import msgspec

from pomeloward import model


class Target(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A back-end server as it describes itself.

    ``address`` is ``ip:port``. ``slots`` is the number of requests that the
    server runs at the same time. With ``is_leaving`` it is draining, with
    ``is_cold`` it has not warmed up yet. ``started_ms`` is the Unix time of
    its start, which tells a restart under the same id from the run before.
    """

    id: model.TargetId
    service: model.ServiceId
    address: str
    zone: model.ZoneId
    slots: int
    is_leaving: bool = False
    is_cold: bool = False
    started_ms: int = 0

    @property
    def url(self) -> str:
        """The base URL of the target."""
        return f"http://{self.address}"

    def has_restarted_since(self, known: "Target") -> bool:
        """Tell whether this is another start of the target than a known one.

        A target at another address counts as another start.
        """
        return (
            known.started_ms != self.started_ms
            or known.address != self.address
        )
