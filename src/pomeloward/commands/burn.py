"""``pomeloward-burn``: burn rates of teams, services and zones.

Each run reads every host, adds the counts to the history file and reports over
all of it; run it every minute, or with ``--duration-s``. Exit statuses
are 0, 64 for wrong usage, 65 for malformed data and 69 when no host answers.
"""

import argparse
import pathlib
import sys
import time

import httpx
import msgspec

from pomeloward import model
from pomeloward import observability
from pomeloward import origin
from pomeloward.commands import exits
from pomeloward.commands import hosts

_PATH = "/.pomeloward/histograms"
_DIMENSIONS = ("service", "team", "zone")


def main(arguments: list[str] | None = None) -> int:
    """Sample, then report."""
    parser = _parser()
    parsed = parser.parse_args(arguments)
    if not 0 < parsed.objective < 1 or parsed.scale <= 0:
        parser.error("--objective must be between 0 and 1, --scale positive")
    try:
        addresses = hosts.urls(parsed)
        if not addresses:
            parser.error("name hosts, --configuration or --platform")
        history = observability.OutcomeHistory(parsed.only or _DIMENSIONS)
        if parsed.history is not None and parsed.history.exists():
            history.restore(parsed.history.read_bytes())
        newest = _sample(parsed, addresses, history)
        _report(parsed, history, newest)
    except model.PlatformUnavailable as error:
        return _failed(error, exits.UNAVAILABLE)
    except (model.PomelowardError, OSError) as error:
        return _failed(error, exits.DATA)
    return 0 if newest else exits.UNAVAILABLE


def _parser() -> argparse.ArgumentParser:
    parser = exits.Parser(prog="pomeloward-burn", description=__doc__)
    hosts.add_arguments(parser)
    parser.add_argument("--objective", type=float, default=0.999)
    parser.add_argument(
        "--scale", type=float, default=1.0, help="length of the windows"
    )
    parser.add_argument(
        "--only",
        action="append",
        choices=_DIMENSIONS,
        help="leave out other dimensions; may be repeated",
    )
    parser.add_argument("--history", type=pathlib.Path, metavar="FILE")
    parser.add_argument("--duration-s", type=float, default=0.0)
    parser.add_argument("--every-s", type=float, default=60.0)
    parser.add_argument("--html", type=pathlib.Path, metavar="FILE")
    parser.add_argument("--png", type=pathlib.Path, metavar="FILE")
    return parser


def _sample(
    parsed: argparse.Namespace,
    addresses: list[str],
    history: observability.OutcomeHistory,
) -> dict[model.HostId, observability.OutcomeSample]:
    """Read all hosts once, or for the duration; return the newest."""
    end_s = time.time() + parsed.duration_s
    newest: dict[model.HostId, observability.OutcomeSample] = {}
    while True:
        at_s = time.time()
        for address, answer in hosts.read_all(addresses, _PATH).items():
            if answer is None:
                print(f"{address}: silent", file=sys.stderr)
                continue
            sample = _decode(address, answer, at_s)
            history.add_sample(sample)
            newest[sample.host] = sample
        if at_s + parsed.every_s > end_s:
            return newest
        time.sleep(parsed.every_s)


def _decode(
    address: str, answer: httpx.Response, at_s: float
) -> observability.OutcomeSample:
    try:
        found = msgspec.json.decode(
            answer.content, type=observability.OutcomeSample
        )
    except origin.MALFORMED as error:
        raise model.PomelowardError(
            f"{address}: status {answer.status_code}: {error}"
        ) from error
    return msgspec.structs.replace(found, at_s=at_s)


def _report(
    parsed: argparse.Namespace,
    history: observability.OutcomeHistory,
    newest: dict[model.HostId, observability.OutcomeSample],
) -> None:
    windows = observability.scaled_window_pairs(parsed.scale)
    now_s = time.time()
    if parsed.history is not None:
        history.prune_before(now_s - max(each.long_s for each in windows))
        _replace(parsed.history, history.dump())
    rates = observability.burn_rates(history, windows, parsed.objective, now_s)
    report = observability.BurnRateReport(
        rates, observability.MergedLatency(newest.values())
    )
    if not rates:
        print("no requests yet")
        return
    print(report.text_table())
    if parsed.html is not None:
        parsed.html.write_text(report.html_page(), encoding="utf-8")
    if parsed.png is not None:
        report.save_png_chart(str(parsed.png))


def _replace(file: pathlib.Path, payload: bytes) -> None:
    """Write a whole file, so that a stopped run leaves the old one."""
    new = file.with_name(file.name + ".new")
    new.write_bytes(payload)
    new.replace(file)


def _failed(error: Exception, status: int) -> int:
    print(f"pomeloward-burn: {error}", file=sys.stderr)
    return status


if __name__ == "__main__":
    sys.exit(main())
