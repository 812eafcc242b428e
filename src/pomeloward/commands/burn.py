"""``pomeloward-burn``: reports burn rates by team, service and zone.

A burn rate of 1 uses up the error budget in the period of the objective.
Each run reads the request counts of every host, adds them to the history file
and reports over the whole history. Run the program every minute, or once with
``--duration-s``. Exit statuses are 0, 64 for wrong usage, 65 for malformed
data and 69 when no host answers or the platform is unavailable.
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
from pomeloward.commands import exitstatus
from pomeloward.commands import hostreader

_HISTOGRAMS_PATH = "/.pomeloward/histograms"
_DIMENSIONS = ("service", "team", "zone")


def main(arguments: list[str] | None = None) -> int:
    """Read the hosts, then report; return the exit status."""
    parser = _build_parser()
    parsed = parser.parse_args(arguments)
    if not 0 < parsed.objective < 1 or parsed.scale <= 0:
        parser.error("--objective must be between 0 and 1, --scale positive")
    try:
        base_urls = hostreader.host_urls(parsed)
        if not base_urls:
            parser.error("specify host URLs, --configuration or --platform")
        history = observability.OutcomeHistory(parsed.only or _DIMENSIONS)
        if parsed.history is not None and parsed.history.exists():
            history.restore(parsed.history.read_bytes())
        newest_samples = _read_samples(parsed, base_urls, history)
        _write_report(parsed, history, newest_samples)
    except model.PlatformUnavailable as error:
        return _print_error(error, exitstatus.UNAVAILABLE)
    except (model.PomelowardError, OSError) as error:
        return _print_error(error, exitstatus.DATA_ERROR)
    return 0 if newest_samples else exitstatus.UNAVAILABLE


def _build_parser() -> argparse.ArgumentParser:
    parser = exitstatus.SysexitsParser(
        prog="pomeloward-burn", description=__doc__
    )
    hostreader.add_host_arguments(parser)
    parser.add_argument("--objective", type=float, default=0.999)
    parser.add_argument(
        "--scale",
        type=float,
        default=1.0,
        help="factor for the lengths of the windows",
    )
    parser.add_argument(
        "--only",
        action="append",
        choices=_DIMENSIONS,
        help="report this dimension only; may be repeated",
    )
    parser.add_argument("--history", type=pathlib.Path, metavar="FILE")
    parser.add_argument("--duration-s", type=float, default=0.0)
    parser.add_argument("--every-s", type=float, default=60.0)
    parser.add_argument("--html", type=pathlib.Path, metavar="FILE")
    parser.add_argument("--png", type=pathlib.Path, metavar="FILE")
    return parser


def _read_samples(
    parsed: argparse.Namespace,
    base_urls: list[str],
    history: observability.OutcomeHistory,
) -> dict[model.HostId, observability.OutcomeSample]:
    """Add samples of all hosts to the history; return the newest of each.

    The hosts are read once, or repeatedly for ``--duration-s``.
    """
    end_s = time.time() + parsed.duration_s
    newest_samples: dict[model.HostId, observability.OutcomeSample] = {}
    while True:
        sampled_at_s = time.time()
        for base_url, response in hostreader.get_from_hosts(
            base_urls, _HISTOGRAMS_PATH
        ).items():
            if response is None:
                print(f"{base_url}: silent", file=sys.stderr)
                continue
            sample = _decode_sample(base_url, response, sampled_at_s)
            history.add_sample(sample)
            newest_samples[sample.host] = sample
        if sampled_at_s + parsed.every_s > end_s:
            return newest_samples
        time.sleep(parsed.every_s)


def _decode_sample(
    base_url: str, response: httpx.Response, sampled_at_s: float
) -> observability.OutcomeSample:
    try:
        sample = msgspec.json.decode(
            response.content, type=observability.OutcomeSample
        )
    except origin.MALFORMED as error:
        raise model.PomelowardError(
            f"{base_url}: status {response.status_code}: {error}"
        ) from error
    return msgspec.structs.replace(sample, at_s=sampled_at_s)


def _write_report(
    parsed: argparse.Namespace,
    history: observability.OutcomeHistory,
    newest_samples: dict[model.HostId, observability.OutcomeSample],
) -> None:
    window_pairs = observability.scaled_window_pairs(parsed.scale)
    now_s = time.time()
    if parsed.history is not None:
        history.prune_before(now_s - max(pair.long_s for pair in window_pairs))
        _replace_file(parsed.history, history.dump())
    burn_rates = observability.burn_rates(
        history, window_pairs, parsed.objective, now_s
    )
    report = observability.BurnRateReport(
        burn_rates, observability.MergedLatency(newest_samples.values())
    )
    if not burn_rates:
        print("no requests recorded yet")
        return
    print(report.text_table())
    if parsed.html is not None:
        parsed.html.write_text(report.html_page(), encoding="utf-8")
    if parsed.png is not None:
        report.save_png_chart(str(parsed.png))


def _replace_file(path: pathlib.Path, payload: bytes) -> None:
    """Replace a file atomically, so that a stopped run leaves the old one."""
    new_path = path.with_name(path.name + ".new")
    new_path.write_bytes(payload)
    new_path.replace(path)


def _print_error(error: Exception, exit_status: int) -> int:
    """Print the error; return the exit status."""
    print(f"pomeloward-burn: {error}", file=sys.stderr)
    return exit_status


if __name__ == "__main__":
    sys.exit(main())
