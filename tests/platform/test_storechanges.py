"""Tests of how changes in the platform's store affect requests."""

import anyio
import pytest

from pomeloward import replica
from tests.platform import fleet
from tests.platform import log

pytestmark = pytest.mark.anyio


async def test_withdrawn_api_key_is_rejected_within_two_seconds(world):
    async with world.running():
        tenants = {
            "columns": ["name", "api-keys"],
            "rows": [["huka", ["another"]]],
        }
        world.store.put("op/config", fleet.configuration(2, tenants=tenants))
        await anyio.sleep(1.8)
        assert (await world.get("/safe/")).status_code == 401


async def test_draining_or_removed_target_gets_no_requests(world):
    async with world.running():
        server = world.servers["s1"]
        world.store.put("servers/s1", server.entry(state="draining"))
        await anyio.sleep(1.5)
        count_before = len(server.seen)
        for _ in range(5):
            await world.get("/safe/")
        world.store.delete("servers/s2")
        await anyio.sleep(1.5)
        response = await world.get("/safe/")
        assert response.status_code == 503
        assert len(server.seen) == count_before


async def test_zone_out_of_service_gets_no_requests(world):
    async with world.running():
        await world.add_server("s3", "b")
        # The servers s1 and s2 are in zone a.
        world.store.put("op/evacuate/a", {})
        await anyio.sleep(1.5)
        for _ in range(4):
            assert (await world.get("/safe/")).text.startswith("s3")
        world.store.delete("op/evacuate/a")
        await anyio.sleep(1.5)
        assert not (await world.get("/safe/")).text.startswith("s3")


async def test_invalid_entries_leave_the_valid_ones_in_force(world):
    async with world.running():
        entry = world.servers["s1"].entry()
        for number, value in enumerate(
            [
                b"\xff\x00",
                b"[" * 5_000,
                {},
                {**entry, "max-concurrency": "three"},
                {**entry, "state": "asleep"},
                {**entry, "address": "nowhere"},
                {key: entry[key] for key in entry if key != "service"},
            ]
        ):
            world.store.put(f"servers/bad{number}", value)
        world.store.put("op/config", {"version": "r9", "routes": 7})
        await anyio.sleep(1.5)
        for _ in range(4):
            assert (await world.get("/safe/")).status_code == 200


@pytest.mark.parametrize(
    ("field", "text"),
    [
        ("max-concurrency", b"1" + b"0" * 30),
        ("sequence", b"1" + b"0" * 30),
        ("born", b"-1"),
        ("address", b'"127.0.0.1:99999"'),
        ("zone", b"[" * 100_000 + b"]" * 100_000),
    ],
)
async def test_odd_entry_neither_ends_hosts_nor_stops_their_reads(
    world, field, text
):
    """A host ended each time it read a number over 64 bits."""
    async with world.running():
        world.store.put(
            "servers/odd", world.servers["s1"].entry_with(field, text)
        )
        await anyio.sleep(1.0)
        for _ in range(4):
            assert (await world.get("/safe/")).status_code == 200
        await world.add_server("s3")
        world.store.delete("servers/s1")
        world.store.delete("servers/s2")
        await anyio.sleep(1.5)
        assert (await world.get("/safe/")).text.startswith("s3")


async def test_host_outlives_an_error_while_it_follows_the_store(
    world, monkeypatch
):
    """A host ended for each error that its reads of the store met."""
    merge = replica.Replica.merge

    def fail_at_odd_targets(self, received):
        if any("odd" in change.key for change in received):
            raise RuntimeError("not foreseen")
        return merge(self, received)

    monkeypatch.setattr(replica.Replica, "merge", fail_at_odd_targets)
    async with world.running(nodes=("n1", "n2")):
        world.store.put("servers/odd", world.servers["s1"].entry())
        await anyio.sleep(1.0)
        for node in ("n1", "n2"):
            assert (await world.get("/safe/", node=node)).status_code == 200
        world.store.delete("servers/odd")
        monkeypatch.undo()
        world.store.put("op/config", fleet.configuration(2, tenants=[]))
        await anyio.sleep(1.8)
        for node in ("n1", "n2"):
            response = await world.get("/safe/", node=node, key=None)
            assert response.status_code == 200


@pytest.mark.parametrize("digits", [20, 4_000])
async def test_version_of_many_digits_takes_effect_on_all_hosts(world, digits):
    """A host ended each time it read a version over 64 bits."""
    async with world.running(nodes=("n1", "n2")):
        version = 10 ** (digits - 1)
        with log.captured_lines() as lines:
            world.store.put(
                "op/config", fleet.configuration(version, tenants=[])
            )
            await anyio.sleep(1.8)
            for node in ("n1", "n2"):
                response = await world.get("/safe/", node=node, key=None)
                assert response.status_code == 200
        requests = log.lines_of_type(lines, "request")
        assert {line["version"][:20] for line in requests} == {f"1{0:019}"}
        world.store.put("op/config", fleet.configuration(version + 1))
        await anyio.sleep(1.8)
        for node in ("n1", "n2"):
            response = await world.get("/safe/", node=node, key=None)
            assert response.status_code == 401


async def test_requests_are_served_while_the_store_does_not_answer(world):
    async with world.running():
        world.store.is_silent = True
        await anyio.sleep(2.0)
        assert (await world.get("/safe/")).status_code == 200
        world.store.is_silent = False
        world.store.put("op/config", fleet.configuration(3, tenants=[]))
        await anyio.sleep(3.0)
        assert (await world.get("/safe/", key=None)).status_code == 200
