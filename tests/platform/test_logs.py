"""Tests of the log lines that lead from a request to its cause."""

import contextlib

import anyio
import eliot
import pytest

from tests.platform import server as servers

pytestmark = pytest.mark.anyio


@contextlib.contextmanager
def _lines():
    """Collect what hosts log meanwhile."""
    collected = []
    eliot.add_destinations(collected.append)
    try:
        yield collected
    finally:
        eliot.remove_destination(collected.append)


def _of_type(lines, message_type):
    return [one for one in lines if one["message_type"] == message_type]


async def test_line_of_a_lost_order_names_target_and_time(world):
    with _lines() as lines:
        async with world.running(names=("s1",)):
            world.servers["s1"].behave = servers.hang
            answer = await world.request("POST", "/order/")
    (line,) = [
        one
        for one in _of_type(lines, "request")
        if one["request"] == answer.headers["x-request-id"]
    ]
    assert line["status"] == 504
    assert (line["route"], line["team"], line["version"]) == (
        "order",
        "huka",
        1,
    )
    (attempt,) = line["attempts"]
    assert attempt.startswith("s1 near silent 1")
    suspected = _of_type(lines, "target:suspected")
    assert [(one["target"], one["reason"]) for one in suspected] == [
        ("s1", "silent")
    ]


async def test_no_line_holds_a_key(world):
    with _lines() as lines:
        async with world.running():
            await world.get("/safe/")
            await world.get("/safe/", key="some-unknown-key")
    assert "some-unknown-key" not in repr(lines)
    assert "2b9wu3fexd9dnn2ctnfz" not in repr(lines)


async def test_lost_and_regained_store_are_logged_once(world):
    with _lines() as lines:
        async with world.running():
            world.store.is_away = True
            await anyio.sleep(2.5)
            world.store.is_away = False
            await anyio.sleep(2.5)
    assert len(_of_type(lines, "store:lost")) == 1
    assert len(_of_type(lines, "store:regained")) == 1


async def test_settings_that_change_without_a_signal_are_taken(world):
    with _lines() as lines:
        async with world.running(nodes=("n1", "n2")):
            path = world.settings_path("n1")
            good = path.read_text()
            path.write_text("node = 7")
            await anyio.sleep(1.3)
            path.write_text(good.replace("bootstrap = true", ""))
            await anyio.sleep(1.3)
            assert (await world.get("/safe/")).status_code == 200
    assert _of_type(lines, "reload:rejected")
    (reload,) = _of_type(lines, "reload")
    assert reload["changed"] == ["is_first_start"]
    assert reload["needs_restart"] == []


async def test_settings_that_need_a_restart_are_named(world):
    """A changed store address was taken for one in use."""
    with _lines() as lines:
        async with world.running():
            path = world.settings_path("n1")
            changed = path.read_text().replace(
                '[platform]\naddress = "127.0.0.1:',
                '[platform]\naddress = "127.0.0.2:',
            )
            path.write_text(changed)
            await anyio.sleep(1.3)
    (reload,) = _of_type(lines, "reload")
    assert reload["needs_restart"] == ["store"]
