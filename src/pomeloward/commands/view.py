"""``pomeloward-view``: shows the status of hosts, or their decisions.

Exit statuses are 0, 64 for wrong usage, 65 for a malformed configuration or
response, and 69 when no host answers, none knows the id, or the platform is
unavailable.
"""

import argparse
import collections
import json
import sys
import typing
import urllib.parse

import httpx

from pomeloward import model
from pomeloward.commands import exitstatus
from pomeloward.commands import hostreader

_PATH_PREFIX = "/.pomeloward/"


def main(arguments: list[str] | None = None) -> int:
    """Run one subcommand; return the exit status."""
    parser = _build_parser()
    parsed = parser.parse_args(arguments)
    try:
        base_urls = hostreader.host_urls(parsed)
        if not base_urls:
            parser.error("specify host URLs, --configuration or --platform")
        exit_status: int = parsed.run(parsed, base_urls)
    except (model.ConfigurationError, OSError, ValueError) as error:
        print(f"pomeloward-view: {error}", file=sys.stderr)
        return exitstatus.DATA_ERROR
    except model.PlatformUnavailable as error:
        print(f"pomeloward-view: {error}", file=sys.stderr)
        return exitstatus.UNAVAILABLE
    return exit_status


def _build_parser() -> argparse.ArgumentParser:
    parser = exitstatus.SysexitsParser(
        prog="pomeloward-view", description=__doc__
    )
    subcommands = parser.add_subparsers(required=True, dest="command")
    host_parser = subcommands.add_parser(
        "host", help="the whole status of each host"
    )
    hostreader.add_host_arguments(host_parser)
    host_parser.set_defaults(run=_show_hosts)
    fleet_parser = subcommands.add_parser(
        "fleet", help="one status line for each host"
    )
    hostreader.add_host_arguments(fleet_parser)
    fleet_parser.set_defaults(run=_show_fleet)
    explain_parser = subcommands.add_parser(
        "explain", help="the decisions about a request, target or team"
    )
    explain_parser.add_argument("id")
    hostreader.add_host_arguments(explain_parser)
    explain_parser.set_defaults(run=_show_decisions)
    return parser


def _show_hosts(parsed: argparse.Namespace, base_urls: list[str]) -> int:
    statuses = _read_statuses(base_urls)
    for base_url, status in statuses.items():
        print(base_url)
        status_text = "silent" if status is None else _format_json(status)
        print(f"  {status_text}")
    return _exit_status(statuses)


def _show_fleet(parsed: argparse.Namespace, base_urls: list[str]) -> int:
    statuses = _read_statuses(base_urls)
    hosts_per_version: collections.Counter[str] = collections.Counter()
    for base_url, status in statuses.items():
        if status is None:
            print(f"{base_url}  silent")
            continue
        hosts_per_version[str(status.get("version", "-"))] += 1
        fields = " ".join(
            f"{name}={value}"
            for name, value in status.items()
            if not isinstance(value, dict | list)
        )
        print(f"{base_url}  {fields}")
    silent_count = sum(status is None for status in statuses.values())
    version_counts = ", ".join(
        f"{count} at version {version}"
        for version, count in sorted(hosts_per_version.items())
    )
    print(
        f"{len(statuses)} hosts: {version_counts or 'none answered'}; "
        f"{silent_count} silent"
    )
    return _exit_status(statuses)


def _show_decisions(parsed: argparse.Namespace, base_urls: list[str]) -> int:
    path = f"{_PATH_PREFIX}explain/{urllib.parse.quote(parsed.id, safe='')}"
    is_known = False
    for base_url, response in hostreader.get_from_hosts(
        base_urls, path
    ).items():
        if response is None:
            print(f"{base_url}: silent", file=sys.stderr)
        elif response.status_code == httpx.codes.OK:
            is_known = True
            print(base_url)
            for decision in _decode_json_object(base_url, response).get(
                "decisions", []
            ):
                print(f"  {_format_decision(decision)}")
    if not is_known:
        print(f"pomeloward-view: no host knows {parsed.id}", file=sys.stderr)
    return 0 if is_known else exitstatus.UNAVAILABLE


def _read_statuses(
    base_urls: list[str],
) -> dict[str, dict[str, typing.Any] | None]:
    responses = hostreader.get_from_hosts(base_urls, f"{_PATH_PREFIX}status")
    return {
        base_url: None
        if response is None
        else _decode_json_object(base_url, response)
        for base_url, response in responses.items()
    }


def _decode_json_object(
    base_url: str, response: httpx.Response
) -> dict[str, typing.Any]:
    try:
        document = response.json()
    except (ValueError, RecursionError) as error:
        raise ValueError(
            f"{base_url}: response is not valid JSON: {error}"
        ) from error
    if not isinstance(document, dict):
        raise ValueError(f"{base_url}: response is not a JSON object")
    return document


def _format_decision(decision: dict[str, typing.Any]) -> str:
    """Return a line with the decision's time on the host's clock."""
    at_s = float(decision.get("at_ms", 0.0)) / 1_000
    subject_names = " ".join(
        f"{name}={decision[name]}"
        for name in ("request", "team", "target")
        if decision.get(name)
    )
    kind, reason = decision.get("kind", "?"), decision.get("reason", "")
    return f"{at_s:.3f} {kind}: {reason} ({subject_names})"


def _format_json(status: dict[str, typing.Any]) -> str:
    return json.dumps(status, indent=2).replace("\n", "\n  ")


def _exit_status(statuses: dict[str, dict[str, typing.Any] | None]) -> int:
    """Return 69 when no host has answered, else 0."""
    has_answer = any(status is not None for status in statuses.values())
    return 0 if has_answer else exitstatus.UNAVAILABLE


if __name__ == "__main__":
    sys.exit(main())
