"""Tests of what is recorded of stray bytes."""

import pytest

from pomeloward import dispatch
from pomeloward import model
from pomeloward import observability
from pomeloward import wire

_SERVER = model.TargetId("t")


@pytest.mark.parametrize("place", wire.Place)
def test_stray_bytes_are_counted_by_their_place(place):
    """Guards against second answers that show only where lines are read."""
    metrics = observability.Metrics()
    stray_log = dispatch.StrayLog(b"x-request-id", metrics)
    for _ in range(2):
        stray_log.record(
            _SERVER,
            wire.StrayBytes(wire.ConnectionUse(40_312, 7), place, 2, b"xx"),
        )
    assert (
        f'pomeloward_stray_bytes_total{{place="{place.value}"}} 2'
        in metrics.prometheus_text().splitlines()
    )
    assert len(metrics.prometheus_text().splitlines()) == 2
