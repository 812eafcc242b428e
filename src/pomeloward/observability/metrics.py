"""Counters, gauges and latency histograms of a host."""

import collections.abc

from hdrh import histogram

# Histograms hold microseconds from 1 us to 10 minutes with two significant
# digits, which takes about 30 kB each.
_HIGHEST_US = 600_000_000
_SIGNIFICANT_DIGITS = 2
_QUANTILES = (0.5, 0.9, 0.99, 0.999)

Labels = tuple[tuple[str, str], ...]


class Metrics:
    """Named series of a host, rendered as Prometheus text.

    Names follow the Prometheus conventions: counters end in ``_total`` and
    histograms carry their unit, for example ``..._seconds``.
    """

    def __init__(self) -> None:
        self._counters: dict[tuple[str, Labels], float] = {}
        self._gauges: dict[str, collections.abc.Callable[[], float]] = {}
        self._histograms: dict[tuple[str, Labels], histogram.HdrHistogram] = {}

    def increment(
        self, name: str, labels: Labels = (), by: float = 1.0
    ) -> None:
        """Add to a counter."""
        key = (name, labels)
        self._counters[key] = self._counters.get(key, 0.0) + by

    def register_gauge(
        self, name: str, read: collections.abc.Callable[[], float]
    ) -> None:
        """Register a gauge that is read when the metrics are rendered."""
        self._gauges[name] = read

    def observe_ms(
        self, name: str, value_ms: float, labels: Labels = ()
    ) -> None:
        """Record a duration in milliseconds."""
        key = (name, labels)
        found = self._histograms.get(key)
        if found is None:
            found = histogram.HdrHistogram(1, _HIGHEST_US, _SIGNIFICANT_DIGITS)
            self._histograms[key] = found
        found.record_value(min(max(1, int(value_ms * 1_000)), _HIGHEST_US))

    def counter_value(self, name: str, labels: Labels = ()) -> float:
        """Return the value of a counter."""
        return self._counters.get((name, labels), 0.0)

    def quantile_ms(
        self, name: str, quantile: float, labels: Labels = ()
    ) -> float | None:
        """Return a quantile of a histogram, None while it is empty."""
        found = self._histograms.get((name, labels))
        if found is None or found.get_total_count() == 0:
            return None
        value_us: float = found.get_value_at_percentile(quantile * 100)
        return value_us / 1_000

    def prometheus_text(self) -> str:
        """Render all series in Prometheus' text format."""
        lines: list[str] = []
        for (name, labels), value in sorted(self._counters.items()):
            lines.append(f"# TYPE {name} counter")
            lines.append(f"{name}{_render(labels)} {value:.15g}")
        for name, read in sorted(self._gauges.items()):
            lines.append(f"# TYPE {name} gauge")
            lines.append(f"{name} {read():.15g}")
        for (name, labels), series in sorted(self._histograms.items()):
            lines.extend(_summary(name, labels, series))
        return "\n".join(_without_repeats(lines)) + "\n"


def _summary(
    name: str, labels: Labels, series: histogram.HdrHistogram
) -> list[str]:
    lines = [f"# TYPE {name} summary"]
    for quantile in _QUANTILES:
        value_us = series.get_value_at_percentile(quantile * 100)
        rendered = _render((*labels, ("quantile", str(quantile))))
        lines.append(f"{name}{rendered} {value_us / 1e6:.6g}")
    count = series.get_total_count()
    mean_us = series.get_mean_value() if count else 0.0
    lines.append(f"{name}_sum{_render(labels)} {mean_us * count / 1e6:.9g}")
    lines.append(f"{name}_count{_render(labels)} {count}")
    return lines


def _render(labels: Labels) -> str:
    if not labels:
        return ""
    pairs = ",".join(f'{name}="{_escape(value)}"' for name, value in labels)
    return "{" + pairs + "}"


def _escape(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


def _without_repeats(lines: list[str]) -> list[str]:
    seen: set[str] = set()
    kept = []
    for line in lines:
        if line.startswith("# TYPE") and line in seen:
            continue
        seen.add(line)
        kept.append(line)
    return kept
