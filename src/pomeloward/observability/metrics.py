"""Counters, gauges and latency histograms of a host."""

import collections.abc

from hdrh import histogram

# Histograms range from 1 us to 10 minutes with two significant digits and
# take about 30 kB each.
_HIGHEST_DURATION_US = 600_000_000
_SIGNIFICANT_DIGITS = 2
_SUMMARY_QUANTILES = (0.5, 0.9, 0.99, 0.999)

Labels = tuple[tuple[str, str], ...]


class Metrics:
    """Counters, gauges and histograms, rendered as Prometheus text.

    Names follow the Prometheus conventions: counters end in ``_total`` and
    histograms in their unit, ``_seconds``.
    """

    def __init__(self) -> None:
        self._counters: dict[tuple[str, Labels], float] = {}
        self._gauges: dict[str, collections.abc.Callable[[], float]] = {}
        self._histograms: dict[tuple[str, Labels], histogram.HdrHistogram] = {}

    def increment(
        self, name: str, labels: Labels = (), amount: float = 1.0
    ) -> None:
        """Add an amount to a counter."""
        key = (name, labels)
        self._counters[key] = self._counters.get(key, 0.0) + amount

    def register_gauge(
        self, name: str, read_value: collections.abc.Callable[[], float]
    ) -> None:
        """Register a gauge whose function is called at each rendering."""
        self._gauges[name] = read_value

    def observe_ms(
        self, name: str, duration_ms: float, labels: Labels = ()
    ) -> None:
        """Record a duration, which is rendered in seconds."""
        key = (name, labels)
        durations_us = self._histograms.get(key)
        if durations_us is None:
            durations_us = histogram.HdrHistogram(
                1, _HIGHEST_DURATION_US, _SIGNIFICANT_DIGITS
            )
            self._histograms[key] = durations_us
        durations_us.record_value(
            min(max(1, int(duration_ms * 1_000)), _HIGHEST_DURATION_US)
        )

    def counter_value(self, name: str, labels: Labels = ()) -> float:
        """Return the value of a counter."""
        return self._counters.get((name, labels), 0.0)

    def quantile_ms(
        self, name: str, quantile: float, labels: Labels = ()
    ) -> float | None:
        """Return a quantile (0 to 1), or None if nothing was recorded."""
        durations_us = self._histograms.get((name, labels))
        if durations_us is None or durations_us.get_total_count() == 0:
            return None
        value_us: float = durations_us.get_value_at_percentile(quantile * 100)
        return value_us / 1_000

    def prometheus_text(self) -> str:
        """Return all metrics in the Prometheus text format."""
        lines: list[str] = []
        for (name, labels), value in sorted(self._counters.items()):
            lines.append(f"# TYPE {name} counter")
            lines.append(f"{name}{_render_labels(labels)} {value:.15g}")
        for name, read_value in sorted(self._gauges.items()):
            lines.append(f"# TYPE {name} gauge")
            lines.append(f"{name} {read_value():.15g}")
        for (name, labels), durations_us in sorted(self._histograms.items()):
            lines.extend(_summary_lines(name, labels, durations_us))
        return "\n".join(_without_repeated_type_lines(lines)) + "\n"


def _summary_lines(
    name: str, labels: Labels, durations_us: histogram.HdrHistogram
) -> list[str]:
    lines = [f"# TYPE {name} summary"]
    for quantile in _SUMMARY_QUANTILES:
        value_us = durations_us.get_value_at_percentile(quantile * 100)
        quantile_labels = _render_labels(
            (*labels, ("quantile", str(quantile)))
        )
        lines.append(f"{name}{quantile_labels} {value_us / 1e6:.6g}")
    count = durations_us.get_total_count()
    mean_us = durations_us.get_mean_value() if count else 0.0
    lines.append(
        f"{name}_sum{_render_labels(labels)} {mean_us * count / 1e6:.9g}"
    )
    lines.append(f"{name}_count{_render_labels(labels)} {count}")
    return lines


def _render_labels(labels: Labels) -> str:
    if not labels:
        return ""
    pairs = ",".join(
        f'{name}="{_escape_label_value(value)}"' for name, value in labels
    )
    return "{" + pairs + "}"


def _escape_label_value(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


def _without_repeated_type_lines(lines: list[str]) -> list[str]:
    seen_lines: set[str] = set()
    kept_lines = []
    for line in lines:
        if line.startswith("# TYPE") and line in seen_lines:
            continue
        seen_lines.add(line)
        kept_lines.append(line)
    return kept_lines
