"""Tests of a store that comes back from an older copy of itself."""

import anyio
import pytest

from tests.platform import fleet

pytestmark = pytest.mark.anyio

# Time in which a change in the store is in force on all hosts.
_APPLY_S = 2.0


def _configuration(version, tenant_names):
    rows = [[name, [f"key-of-{name}"]] for name in tenant_names]
    tenants = {"columns": ["name", "api-keys"], "rows": rows}
    return fleet.configuration(version, tenants=tenants)


async def _status(world, tenant, node="n1"):
    response = await world.get("/safe/", node, key=f"key-of-{tenant}")
    return response.status_code


async def _restore(world):
    """Play the outage at whose end the store is restored."""
    world.store.is_away = True
    await anyio.sleep(1.5)
    world.store.restore()
    world.store.is_away = False


async def test_configuration_published_after_a_restore_is_in_force(world):
    """Its revision was given out before, and the change was dropped."""
    async with world.running(nodes=("n1", "n2")):
        world.store.keep_copy()
        world.store.put("op/config", _configuration(2, ["ada"]))
        world.store.put("op/config", _configuration(3, ["ada", "bo"]))
        await anyio.sleep(_APPLY_S)
        await _restore(world)
        world.store.put("op/config", _configuration(3, ["ada", "bo"]))
        await anyio.sleep(3.0)
        world.store.put("op/config", _configuration(5, ["bo", "cleo"]))
        await anyio.sleep(_APPLY_S)
        for node in world.nodes:
            assert await _status(world, "cleo", node) == 200
            assert await _status(world, "ada", node) == 401


async def test_withdrawn_key_and_left_target_stay_so_after_a_restore(world):
    """The copy still has both, and a restarted host knows nothing else."""
    async with world.running(nodes=("n1", "n2")):
        world.store.put("op/config", _configuration(2, ["ada", "bo"]))
        world.store.keep_copy()
        world.store.put("op/config", _configuration(3, ["bo"]))
        world.store.delete("servers/s2")
        await anyio.sleep(_APPLY_S)
        await _restore(world)
        world.scopes["n2"].cancel()
        await anyio.sleep(0.3)
        world.start_node("n2", "a", is_first=False)
        await world.wait_ready("n2")
        await anyio.sleep(1.5)
        served_before = len(world.servers["s2"].seen)
        for _ in range(4):
            for node in world.nodes:
                assert await _status(world, "ada", node) == 401
                assert await _status(world, "bo", node) == 200
        assert len(world.servers["s2"].seen) == served_before


async def test_target_that_drained_stays_so_after_a_restore(world):
    async with world.running(nodes=("n1", "n2")):
        server = world.servers["s1"]
        world.store.keep_copy()
        world.store.put(
            "servers/s1", server.entry(state="draining", sequence=2)
        )
        await anyio.sleep(_APPLY_S)
        served_before = len(server.seen)
        await _restore(world)
        for _ in range(8):
            for node in world.nodes:
                response = await world.get("/safe/", node)
                assert response.status_code == 200
            await anyio.sleep(0.3)
        assert len(server.seen) == served_before


async def test_target_that_registered_before_a_restore_is_used(world):
    """Its entry is missing from the copy until it is written again."""
    async with world.running(names=("s1",)):
        world.store.keep_copy()
        server = await world.add_server("s2")
        world.store.delete("servers/s1")
        await anyio.sleep(_APPLY_S)
        await _restore(world)
        await anyio.sleep(1.0)
        assert (await world.get("/safe/")).text.startswith("s2")
        world.store.put("servers/s2", server.entry(sequence=4))
        await anyio.sleep(4.0)
        assert (await world.get("/safe/")).text.startswith("s2")
