"""Tests of the pools of connections to targets."""

import anyio
import httpx
import pytest

from pomeloward import catalog
from pomeloward import model
from pomeloward import observability
from pomeloward.dispatch import head
from pomeloward.dispatch import links
from pomeloward.dispatch import straylog

pytestmark = pytest.mark.anyio

_STRAY_LOG = straylog.StrayLog(b"x-request-id", observability.Metrics())


def _target(url="http://127.0.0.1:1"):
    return catalog.Target(
        model.TargetId("t"),
        model.ServiceId("s"),
        model.ZoneId("z"),
        model.SiteId("a"),
        url,
    )


async def test_idle_pool_is_closed_and_used_one_kept():
    """Guards against sockets that pile up, and against cut downloads."""
    kept = links.Links(4_000.0, "127.0.0.1", _STRAY_LOG)
    link = kept.make(_target(), 4, 0.0)
    link.enter(0.0)
    await kept.sweep(100_000.0)
    assert kept.find(_target()) is link
    link.leave(100_000.0)
    await kept.sweep(110_000.0)
    assert len(kept) == 1
    await kept.sweep(140_000.0)
    assert len(kept) == 0


async def test_moved_target_gets_a_new_pool():
    """Guards against requests to a target's former address."""
    kept = links.Links(4_000.0, "127.0.0.1", _STRAY_LOG)
    kept.make(_target(), 4, anyio.current_time())
    assert kept.find(_target("http://127.0.0.1:2")) is None


@pytest.mark.parametrize(
    ("text", "announced_ms"),
    [
        ("timeout=5, max=100", 5_000.0),
        ("max=3, Timeout = 0", 0.0),
        ("timeout=-1", None),
        ("timeout=", None),
        ("max=100", None),
    ],
)
async def test_announced_idle_time_is_read(text, announced_ms):
    headers = httpx.Headers({"Keep-Alive": text})
    assert head.announced_idle_ms(headers) == announced_ms
