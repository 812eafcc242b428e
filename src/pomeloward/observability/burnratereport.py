"""Burn rates and latencies as a text table, an HTML page and a chart."""

import collections
import html

from pomeloward.observability import burnrate
from pomeloward.observability import mergedlatency
from pomeloward.observability import outcomehistory

_LATENCY_QUANTILES = (0.5, 0.99)


class BurnRateReport:
    """Renders burn rates and latency quantiles, a row for each subject."""

    def __init__(
        self,
        rates: list[burnrate.BurnRate],
        latency: mergedlatency.MergedLatency,
    ) -> None:
        self._rates_by_subject: dict[
            outcomehistory.Subject, list[burnrate.BurnRate]
        ] = collections.defaultdict(list)
        for rate in rates:
            self._rates_by_subject[rate.subject].append(rate)
        self._latency = latency

    @property
    def alerting_rates(self) -> list[burnrate.BurnRate]:
        """The burn rates that reach their threshold in both windows."""
        return [
            rate
            for rates in self._rates_by_subject.values()
            for rate in rates
            if rate.is_alerting
        ]

    def text_table(self) -> str:
        """Return the table as text with aligned columns."""
        rows = self._table_rows()
        widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
        return "\n".join(
            "  ".join(
                cell.ljust(width)
                for cell, width in zip(row, widths, strict=True)
            ).rstrip()
            for row in rows
        )

    def html_page(self) -> str:
        """Return the table as an HTML page."""
        header, *rows = self._table_rows()
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
        """Write a PNG chart of the burn rates in the long windows."""
        # Importing matplotlib takes a second; other reports don't need it.
        from matplotlib import figure

        subjects = sorted(self._rates_by_subject)
        chart = figure.Figure(figsize=(8, 1.5 + 0.5 * len(subjects)))
        axes = chart.subplots()
        window_pairs = [
            rate.window_pair
            for rate in next(iter(self._rates_by_subject.values()))
        ]
        bar_height = 0.8 / len(window_pairs)
        for pair_index, pair in enumerate(window_pairs):
            long_window_rates = [
                self._rates_by_subject[subject][pair_index].long_window_rate
                or 0.0
                for subject in subjects
            ]
            bar_positions = [
                row + pair_index * bar_height for row in range(len(subjects))
            ]
            label = f"{pair.name}, alert at {pair.burn_rate_threshold:g}"
            axes.barh(
                bar_positions, long_window_rates, bar_height, label=label
            )
        axes.set_yticks(
            range(len(subjects)),
            [f"{dimension} {name}" for dimension, name in subjects],
        )
        axes.set_xlabel("burn rate of the long window")
        axes.legend()
        chart.tight_layout()
        chart.savefig(file, format="png")

    def _table_rows(self) -> list[list[str]]:
        header = ["subject"]
        rows = []
        for subject in sorted(self._rates_by_subject):
            rates = self._rates_by_subject[subject]
            if len(header) == 1:
                header += [rate.window_pair.name for rate in rates]
                header += [
                    f"p{quantile:.0%}" for quantile in _LATENCY_QUANTILES
                ]
            row = [" ".join(subject)]
            row += [_rate_cell(rate) for rate in rates]
            row += [
                _latency_cell(self._latency.quantile_ms(subject, quantile))
                for quantile in _LATENCY_QUANTILES
            ]
            rows.append(row)
        return [[cell.replace("%", "") for cell in header], *rows]


def _rate_cell(rate: burnrate.BurnRate) -> str:
    formatted = [
        "-" if window_rate is None else f"{window_rate:.2f}"
        for window_rate in (rate.long_window_rate, rate.short_window_rate)
    ]
    return "/".join(formatted) + (" ALERT" if rate.is_alerting else "")


def _latency_cell(latency_ms: float | None) -> str:
    return "-" if latency_ms is None else f"{latency_ms:.1f} ms"


def _html_row(tag: str, cells: list[str]) -> str:
    rendered = (f"<{tag}>{html.escape(cell)}</{tag}>" for cell in cells)
    return f"<tr>{''.join(rendered)}</tr>"
