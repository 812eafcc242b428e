"""Serves many stand-in targets from one process, with one admin port.

The launcher reads what targets saw from ``GET /admin/seen`` and switches
faults by ``POST /admin/faults`` with a list of
``{"target": name, "faults": {...}, "cold": bool, "draining": bool}``.
"""

import argparse
import asyncio
import json
import pathlib
import typing

from standins import asgi
from standins import faults
from standins import serve
from standins import target


class Admin:
    """The launcher's access to the targets of this process."""

    def __init__(self, targets: dict[str, target.Target]) -> None:
        self._targets = targets

    async def app(
        self, scope: asgi.Scope, receive: asgi.Receive, send: asgi.Send
    ) -> None:
        """Answer one request of the launcher."""
        if scope["type"] == "lifespan":
            await asgi.run_lifespan(receive, send)
            return
        if scope["path"] == "/admin/seen":
            await asgi.answer_json(send, self._seen())
            return
        for change in json.loads(await asgi.read_body(receive)):
            self._apply(change)
        await asgi.answer_json(send, {})

    def _seen(self) -> dict[str, typing.Any]:
        return {
            name: {
                "starts": item.starts,
                "order_runs": item.order_runs,
                "key_leaks": item.key_leak_count,
                "overloads": item.warmth.overload_count,
                "cancels": item.cancel_count,
            }
            for name, item in self._targets.items()
        }

    def _apply(self, change: dict[str, typing.Any]) -> None:
        item = self._targets[change["target"]]
        if "faults" in change:
            item.faults = faults.Faults(**change["faults"])
        if change.get("cold"):
            item.warmth.chill(asyncio.get_running_loop().time() * 1000)
        item.is_draining = change.get("draining", item.is_draining)


async def _serve(spec: dict[str, typing.Any]) -> None:
    made: dict[str, target.Target] = {}
    binds: list[tuple[str, asgi.App]] = []
    for row in spec["targets"]:
        item = target.Target(
            row["name"], row["slots"], row["work_ms"], spec["seed"]
        )
        made[row["name"]] = item
        binds.append((row["bind"], item.app))
    binds.append((spec["admin_bind"], Admin(made).app))
    await serve.serve(binds)


def main() -> None:
    """Serve the targets of a JSON specification until SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("spec", type=pathlib.Path)
    options = parser.parse_args()
    asyncio.run(_serve(json.loads(options.spec.read_text())))


if __name__ == "__main__":
    main()
