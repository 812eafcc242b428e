"""``pomeloward-view``: shows a host, the fleet, or why something happened.

Exit statuses are 0, 64 for wrong usage, 65 for a malformed configuration or
answer, and 69 when no host answers or none knows the id.
"""

import argparse
import collections
import json
import sys
import typing
import urllib.parse

import httpx

from pomeloward import model
from pomeloward.commands import exits
from pomeloward.commands import hosts

_PREFIX = "/.pomeloward/"


def main(arguments: list[str] | None = None) -> int:
    """Run one subcommand."""
    parser = _parser()
    parsed = parser.parse_args(arguments)
    try:
        addresses = hosts.urls(parsed)
        if not addresses:
            parser.error("name hosts, --configuration or --platform")
        found: int = parsed.run(parsed, addresses)
    except (model.ConfigurationError, OSError, ValueError) as error:
        print(f"pomeloward-view: {error}", file=sys.stderr)
        return exits.DATA
    except model.PlatformUnavailable as error:
        print(f"pomeloward-view: {error}", file=sys.stderr)
        return exits.UNAVAILABLE
    return found


def _parser() -> argparse.ArgumentParser:
    parser = exits.Parser(prog="pomeloward-view", description=__doc__)
    commands = parser.add_subparsers(required=True, dest="command")
    host = commands.add_parser("host", help="all facts of each host")
    hosts.add_arguments(host)
    host.set_defaults(run=_host)
    fleet = commands.add_parser("fleet", help="one line for each host")
    hosts.add_arguments(fleet)
    fleet.set_defaults(run=_fleet)
    explain = commands.add_parser(
        "explain", help="the decisions about a request, target or team"
    )
    explain.add_argument("id")
    hosts.add_arguments(explain)
    explain.set_defaults(run=_explain)
    return parser


def _host(parsed: argparse.Namespace, addresses: list[str]) -> int:
    statuses = _statuses(addresses)
    for address, status in statuses.items():
        print(address)
        shown = "silent" if status is None else _indented(status)
        print(f"  {shown}")
    return _status_of(statuses)


def _fleet(parsed: argparse.Namespace, addresses: list[str]) -> int:
    statuses = _statuses(addresses)
    versions: collections.Counter[str] = collections.Counter()
    for address, status in statuses.items():
        if status is None:
            print(f"{address}  silent")
            continue
        versions[str(status.get("version", "-"))] += 1
        facts = " ".join(
            f"{name}={value}"
            for name, value in status.items()
            if not isinstance(value, dict | list)
        )
        print(f"{address}  {facts}")
    silent = sum(status is None for status in statuses.values())
    counts = ", ".join(
        f"{count} at version {version}"
        for version, count in sorted(versions.items())
    )
    print(
        f"{len(statuses)} hosts: {counts or 'none answered'}; {silent} silent"
    )
    return _status_of(statuses)


def _explain(parsed: argparse.Namespace, addresses: list[str]) -> int:
    path = f"{_PREFIX}explain/{urllib.parse.quote(parsed.id, safe='')}"
    is_known = False
    for address, answer in hosts.read_all(addresses, path).items():
        if answer is None:
            print(f"{address}: silent", file=sys.stderr)
        elif answer.status_code == httpx.codes.OK:
            is_known = True
            print(address)
            for decision in _object(address, answer).get("decisions", []):
                print(f"  {_decision(decision)}")
    if not is_known:
        print(f"pomeloward-view: no host knows {parsed.id}", file=sys.stderr)
    return 0 if is_known else exits.UNAVAILABLE


def _statuses(
    addresses: list[str],
) -> dict[str, dict[str, typing.Any] | None]:
    found = hosts.read_all(addresses, f"{_PREFIX}status")
    return {
        address: None if answer is None else _object(address, answer)
        for address, answer in found.items()
    }


def _object(address: str, answer: httpx.Response) -> dict[str, typing.Any]:
    try:
        found = answer.json()
    except (ValueError, RecursionError) as error:
        raise ValueError(f"{address} answered no JSON: {error}") from error
    if not isinstance(found, dict):
        raise ValueError(f"{address} answered no JSON object")
    return found


def _decision(decision: dict[str, typing.Any]) -> str:
    """Return the time on the host's clock, the kind and the rest."""
    at_s = float(decision.get("at_ms", 0.0)) / 1_000
    names = " ".join(
        f"{name}={decision[name]}"
        for name in ("request", "team", "target")
        if decision.get(name)
    )
    kind, reason = decision.get("kind", "?"), decision.get("reason", "")
    return f"{at_s:.3f} {kind}: {reason} ({names})"


def _indented(status: dict[str, typing.Any]) -> str:
    return json.dumps(status, indent=2).replace("\n", "\n  ")


def _status_of(statuses: dict[str, dict[str, typing.Any] | None]) -> int:
    is_any = any(status is not None for status in statuses.values())
    return 0 if is_any else exits.UNAVAILABLE


if __name__ == "__main__":
    sys.exit(main())
