"""Recent evidence about one target."""

import collections
import dataclasses
import math

from pomeloward import model
from pomeloward.service import messages


@dataclasses.dataclass(slots=True)
class Sums:
    """Sums of evidence over an interval.

    ``nats`` adds up the samples; ``routes`` has samples and nats by route.
    """

    count: int = 0
    errors: int = 0
    sheds: int = 0
    samples: int = 0
    nats: float = 0.0
    routes: dict[int, tuple[int, float]] = dataclasses.field(
        default_factory=dict
    )

    def sample(self, route: int, samples: int, nats: float) -> None:
        """Add latencies of one route."""
        if samples:
            known, total = self.routes.get(route, (0, 0.0))
            self.routes[route] = (known + samples, total + nats)
            self.samples += samples
            self.nats += nats

    def describe(self) -> str:
        """Return the sums as text for a person."""
        factor = math.exp(self.nats / self.samples) if self.samples else 1.0
        return (
            f"{self.count} answers, {self.errors} errors, {self.sheds} sheds, "
            f"{factor:.2f} times the usual latency in {self.samples} samples"
        )


class Window:
    """Evidence of one target in sliding intervals.

    Evidence is kept in buckets of ``bucket_ms``, at most ``span_ms`` long,
    so its size does not depend on the load.
    """

    def __init__(self, bucket_ms: float, span_ms: float) -> None:
        self._bucket_ms = bucket_ms
        self._length = int(span_ms / bucket_ms) + 1
        self._buckets: collections.deque[tuple[int, Sums]] = collections.deque(
            maxlen=self._length
        )
        self._running: dict[
            model.HostId, list[tuple[messages.Evidence, float]]
        ] = {}
        self._failures: dict[model.HostId, float] = {}

    def add(
        self, host: model.HostId, evidence: messages.Evidence, now_ms: float
    ) -> None:
        """Take the evidence of one report."""
        number = int(now_ms // self._bucket_ms)
        if not self._buckets or self._buckets[-1][0] != number:
            self._buckets.append((number, Sums()))
        sums = self._buckets[-1][1]
        sums.count += evidence.count
        sums.errors += evidence.errors
        sums.sheds += evidence.sheds
        sums.sample(evidence.route, evidence.samples, evidence.centinats / 100)
        if evidence.running:
            self._running.setdefault(host, []).append((evidence, now_ms))
        if evidence.connect_failures:
            self._failures[host] = now_ms

    def clear_running(self, host: model.HostId) -> None:
        """Forget a host's requests under way before its next report."""
        self._running.pop(host, None)

    def clear(self) -> None:
        """Forget everything, when the target starts anew."""
        self._buckets.clear()
        self._running.clear()
        self._failures.clear()

    def sums(self, interval_ms: float, now_ms: float) -> Sums:
        """Return the sums of the last interval.

        Requests under way that take long count as samples with the latency
        they have reached, a lower bound of the one they will have.
        """
        total = Sums()
        first = (now_ms - interval_ms) / self._bucket_ms
        for number, sums in reversed(self._buckets):
            if number < first:
                break
            total.count += sums.count
            total.errors += sums.errors
            total.sheds += sums.sheds
            for route, (samples, nats) in sums.routes.items():
                total.sample(route, samples, nats)
        for rows in self._running.values():
            for row, seen_ms in rows:
                if seen_ms > now_ms - interval_ms:
                    nats = row.running_centinats / 100
                    total.sample(row.route, row.running, nats)
        return total

    def failing_hosts(
        self, interval_ms: float, now_ms: float
    ) -> list[model.HostId]:
        """Return the hosts whose connects failed in the last interval."""
        return [
            host
            for host, seen_ms in self._failures.items()
            if seen_ms > now_ms - interval_ms
        ]
