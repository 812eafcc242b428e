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
