"""What a host tells about the requests that it answered."""

import typing

import msgspec

from pomeloward import model


class OutcomeSeries(msgspec.Struct, frozen=True):
    """Counts since the start of the process, of one team, service and zone.

    ``zone`` is the availability zone of the target. ``histogram`` is an
    HdrHistogram of microseconds in its compressed base64 form, or empty.
    """

    team: str
    service: str
    zone: str
    good: typing.Annotated[int, msgspec.Meta(ge=0)]
    bad: typing.Annotated[int, msgspec.Meta(ge=0)]
    histogram: str = ""


class OutcomeSample(msgspec.Struct, frozen=True):
    """All series of a host; ``incarnation`` changes with each start.

    ``at_s`` is the reader's time in seconds of the epoch.
    """

    host: model.HostId
    incarnation: int
    series: tuple[OutcomeSeries, ...]
    at_s: float = 0.0

    def without_histograms(self) -> "OutcomeSample":
        """Return the counts alone, for a history."""
        counts = tuple(
            msgspec.structs.replace(each, histogram="") for each in self.series
        )
        return msgspec.structs.replace(self, series=counts)
