"""Hosts that don't read the store never get a large configuration."""

import asyncio
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import lab as labs  # noqa: E402

_VALUE_BYTES = 1_048_576
_OLD_KEY = "0ldkeyofthetenant000"
_NEW_KEY = "newkeyofthetenant000"
_TENANTS = 7
_FEW_KEYS = 4
_MANY_KEYS = 5_500
_APPLY_S = 2.0
_WATCH_S = 20.0


def publish(lab, version, key, key_count):
    """Write a version in which one key of the first tenant is in force."""
    tenants = [
        {"name": "first", "api-keys": [key], "rate-per-s": 500, "burst": 500}
    ]
    tenants += [
        {
            "name": f"t{number:05}",
            "api-keys": [
                f"k{version:03}ey{number:04}x{n:06}abc"
                for n in range(key_count)
            ],
            "rate-per-s": 50,
            "burst": 50,
        }
        for number in range(_TENANTS)
    ]
    value = labs.configuration(
        version,
        [labs.route("booking", "/booking/", "non_idempotent", "press")],
        [labs.service("press")],
        tenants,
    )
    payload = json.dumps(value, separators=(",", ":")).encode()
    assert len(payload) <= _VALUE_BYTES
    lab.store.put("op/config", payload)
    lab.record.note(f"version {version} has {len(payload)} bytes")


async def play(lab):
    """Publish a version with many tenants, and ask each host for it."""
    publish(lab, 1, _OLD_KEY, _FEW_KEYS)
    for zone in "ab":
        for number in range(2):
            await lab.add_server(f"press-{zone}{number}", "press", zone)
    await lab.start_hosts()
    await asyncio.sleep(1.0)
    publish(lab, 2, _NEW_KEY, _MANY_KEYS if labs.has_trouble() else _FEW_KEYS)
    acknowledged_s = labs.now_s()
    late = {}
    while labs.now_s() < acknowledged_s + _WATCH_S:
        await asyncio.sleep(1.0)
        for host in lab.hosts.values():
            sent_s = labs.now_s() - acknowledged_s
            request_id, answer = await lab.request(
                host, "POST", "/booking/x", b"order", key=_OLD_KEY
            )
            has_run = any(
                one.id == request_id and one.has_run for one in lab.arrivals
            )
            _, renewed = await lab.request(
                host, "POST", "/booking/x", b"order", key=_NEW_KEY
            )
            is_refused = renewed is not None and renewed.status == 401
            if sent_s > _APPLY_S and (has_run or is_refused):
                late.setdefault(host.name, []).append(sent_s)
    for name, times_s in sorted(late.items()):
        lab.record.note(
            f"CONFIG {name}: {len(times_s)} times, last {times_s[-1]:.1f} s "
            "after the acknowledgement, it used the old version"
        )
    return bool(late)


labs.run_case(play, pathlib.Path(__file__).parent, {"a": 16, "b": 2})
