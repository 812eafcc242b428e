"""The counts and latency histograms that a host publishes."""

import typing

import msgspec

from pomeloward import model


class OutcomeSeries(msgspec.Struct, frozen=True):
    """Counts of one team, service and zone since the process started.

    ``zone`` is the availability zone of the target. ``histogram`` is an
    HdrHistogram of latencies in microseconds, compressed and encoded in
    base64, or empty.
    """

    team: str
    service: str
    zone: str
    good: typing.Annotated[int, msgspec.Meta(ge=0)]
    bad: typing.Annotated[int, msgspec.Meta(ge=0)]
    histogram: str = ""


class OutcomeSample(msgspec.Struct, frozen=True):
    """All series of a host; ``incarnation`` changes at each restart.

    ``at_s`` is the time at which a client read the sample, by the client's
    clock, in seconds since the epoch; the host leaves it at 0.
    """

    host: model.HostId
    incarnation: int
    series: tuple[OutcomeSeries, ...]
    at_s: float = 0.0

    def without_histograms(self) -> "OutcomeSample":
        """Return a copy with counts only, which a history stores."""
        series_without_histograms = tuple(
            msgspec.structs.replace(each, histogram="") for each in self.series
        )
        return msgspec.structs.replace(self, series=series_without_histograms)
