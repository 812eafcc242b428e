"""Burn rates as text, as a page and as a chart."""

import collections
import html

from pomeloward.observability import burnrate
from pomeloward.observability import mergedlatency
from pomeloward.observability import outcomehistory

_QUANTILES = (0.5, 0.99)


class BurnRateReport:
    """Renders the same table in each form."""

    def __init__(
        self,
        rates: list[burnrate.BurnRate],
        latency: mergedlatency.MergedLatency,
    ) -> None:
        self._rates: dict[outcomehistory.Subject, list[burnrate.BurnRate]] = (
            collections.defaultdict(list)
        )
        for rate in rates:
            self._rates[rate.subject].append(rate)
        self._latency = latency

    @property
    def alerting_rates(self) -> list[burnrate.BurnRate]:
        """The rates that alert."""
        return [
            rate
            for rates in self._rates.values()
            for rate in rates
            if rate.is_alerting
        ]

    def text_table(self) -> str:
        """Return an aligned table."""
        rows = self._rows()
        widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
        return "\n".join(
            "  ".join(
                cell.ljust(width)
                for cell, width in zip(row, widths, strict=True)
            ).rstrip()
            for row in rows
        )

    def html_page(self) -> str:
        """Return an HTML page."""
        header, *rows = self._rows()
        lines = [
            "<!doctype html>",
            '<html lang="en"><head><meta charset="utf-8">',
            "<title>Burn rates</title></head><body><h1>Burn rates</h1>",
            "<table><thead>",
            _html_row("th", header),
            "</thead><tbody>",
            *(_html_row("td", row) for row in rows),
            "</tbody></table></body></html>",
        ]
        return "\n".join(lines) + "\n"

    def save_png_chart(self, file: str) -> None:
        """Write a PNG with the burn rate of each subject's long windows."""
        # matplotlib takes a second to import, which only a chart is worth.
        from matplotlib import figure

        subjects = sorted(self._rates)
        chart = figure.Figure(figsize=(8, 1.5 + 0.5 * len(subjects)))
        axes = chart.subplots()
        windows = [
            rate.window_pair for rate in next(iter(self._rates.values()))
        ]
        height = 0.8 / len(windows)
        for number, window in enumerate(windows):
            rates = [
                self._rates[subject][number].long_window_rate or 0.0
                for subject in subjects
            ]
            places = [
                place + number * height for place in range(len(subjects))
            ]
            label = f"{window.name}, alert at {window.burn_rate_threshold:g}"
            axes.barh(places, rates, height, label=label)
        axes.set_yticks(
            range(len(subjects)), [f"{kind} {name}" for kind, name in subjects]
        )
        axes.set_xlabel("burn rate of the long window")
        axes.legend()
        chart.tight_layout()
        chart.savefig(file, format="png")

    def _rows(self) -> list[list[str]]:
        header = ["subject"]
        rows = []
        for subject in sorted(self._rates):
            rates = self._rates[subject]
            if len(header) == 1:
                header += [rate.window_pair.name for rate in rates]
                header += [f"p{quantile:.0%}" for quantile in _QUANTILES]
            row = [" ".join(subject)]
            row += [_rate_cell(rate) for rate in rates]
            row += [
                _latency_cell(self._latency.quantile_ms(subject, quantile))
                for quantile in _QUANTILES
            ]
            rows.append(row)
        return [[cell.replace("%", "") for cell in header], *rows]


def _rate_cell(rate: burnrate.BurnRate) -> str:
    parts = [
        "-" if value is None else f"{value:.2f}"
        for value in (rate.long_window_rate, rate.short_window_rate)
    ]
    return "/".join(parts) + (" ALERT" if rate.is_alerting else "")


def _latency_cell(value_ms: float | None) -> str:
    return "-" if value_ms is None else f"{value_ms:.1f} ms"


def _html_row(tag: str, cells: list[str]) -> str:
    rendered = (f"<{tag}>{html.escape(cell)}</{tag}>" for cell in cells)
    return f"<tr>{''.join(rendered)}</tr>"
