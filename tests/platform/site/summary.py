"""Sums up what the records and logs of a site say."""

import collections
import dataclasses

from tests.platform.site import judge
from tests.platform.site import records


@dataclasses.dataclass(frozen=True)
class Summary:
    """The figures of one seed."""

    requests: int
    served: int
    statuses: dict
    # Ids by check.
    wrong: dict
    protocol_errors: int
    stray_lines: int
    host_stops: int
    host_kills: int
    second_answers: int
    reused_answers: int
    # Of the greatest lags of each second: at most, at p99 and at the median.
    caller_lag_ms: tuple
    target_lag_ms: tuple
    store_lag_ms: tuple
    memory: object

    def lines(self):
        """Return the summary as text."""
        memory = self.memory
        yield f"requests: {self.requests}, served: {self.served}"
        yield f"statuses: {self.statuses}"
        for check in judge.CHECKS:
            ids = self.wrong.get(check, [])
            yield f"wrong answers, {check}: {len(ids)} {' '.join(ids)}"
        yield f"502 with RemoteProtocolError: {self.protocol_errors}"
        yield f"stray-byte lines: {self.stray_lines}"
        yield f"hosts stopped: {self.host_stops}, killed: {self.host_kills}"
        yield (
            f"second answers: {self.second_answers}; answers on connections "
            f"used before: {self.reused_answers}"
        )
        yield (
            f"lag at most, p99, median, ms: callers {self.caller_lag_ms}, "
            f"targets {self.target_lag_ms}, store {self.store_lag_ms}"
        )
        yield (
            f"resident at most, MiB: a host {memory.host_mib:.0f}, all hosts "
            f"{memory.hosts_mib:.0f}, all {memory.processes} processes "
            f"{memory.all_mib:.0f}"
        )
        yield f"load average at most: {memory.load_average:.0f}"


def read(directory, memory):
    site = records.read(directory, "site.jsonl")
    stops = [one["is_killed"] for one in _of_kind(site, "stop")]
    called = records.read(directory, "callers-*.jsonl")
    written = records.read(directory, "targets-*.jsonl")
    requests = _of_kind(called, "request")
    answers = _of_kind(written, "answer")
    wrong = collections.defaultdict(list)
    for check, name in judge.judge(
        requests, answers, _of_kind(written, "run")
    ):
        wrong[check].append(name)
    logs = "".join(
        path.read_text(errors="replace")
        for path in directory.glob("host-*.log")
    )
    return Summary(
        requests=len(requests),
        served=sum(200 <= one["status"] < 300 for one in requests),
        statuses=dict(
            sorted(collections.Counter(r["status"] for r in requests).items())
        ),
        wrong=dict(wrong),
        protocol_errors=sum(
            one["status"] == 502 and "RemoteProtocolError" in one["error"]
            for one in requests
        ),
        stray_lines=logs.count("connection:stray_bytes"),
        host_stops=stops.count(False),
        host_kills=stops.count(True),
        second_answers=sum(one["is_second"] for one in answers),
        reused_answers=sum(one["order"] > 1 for one in answers),
        caller_lag_ms=_lag_ms(called),
        target_lag_ms=_lag_ms(written),
        store_lag_ms=_lag_ms(site),
        memory=memory,
    )


def _of_kind(found, kind):
    return [one for one in found if one["kind"] == kind]


def _lag_ms(found):
    lags = sorted(one["worst_s"] for one in _of_kind(found, "lag")) or [0]
    at_p99 = lags[int(0.99 * (len(lags) - 1))]
    median = lags[len(lags) // 2]
    return tuple(round(1000 * one) for one in (lags[-1], at_p99, median))
