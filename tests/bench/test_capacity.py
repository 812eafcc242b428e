"""Tests of the arithmetic behind the capacity table."""

import math

import pytest

from bench.capacity import fit
from bench.capacity import framing
from bench.capacity import row
from bench.capacity import size
from bench.capacity import table
from pomeloward.peer import wireformat
from pomeloward.service import messages


def _row(**values) -> row.Row:
    return row.Row(row.Role.EVERY, "name", "mechanism", **values)


def test_fit_finds_an_exact_line():
    """Guards against a slope or intercept that is off."""
    found = fit.fit([(x, 3.0 + 2.0 * x) for x in (1.0, 2.0, 5.0, 9.0)])
    assert found.slope == pytest.approx(2.0)
    assert found.at(100.0) == pytest.approx(203.0)
    assert found.error_ratio == pytest.approx(0.0, abs=1e-12)


def test_fit_error_is_the_residual_over_the_mean():
    """Guards against an error that hides points beside the line."""
    found = fit.fit([(0.0, 1.0), (1.0, -1.0), (2.0, -1.0), (3.0, 1.0)])
    assert found.slope == pytest.approx(0.0)
    # The mean is 0, so that no relative error exists.
    assert found.error_ratio == 0.0
    raised = fit.fit([(0.0, 5.0), (1.0, 3.0), (2.0, 3.0), (3.0, 5.0)])
    assert raised.error_ratio == pytest.approx(1.0 / 4.0)


def test_fit_refuses_fewer_than_four_sizes():
    """Guards against a line through repeated measurements of few sizes."""
    with pytest.raises(ValueError):
        fit.fit([(1.0, 1.0), (1.0, 2.0), (2.0, 3.0), (3.0, 4.0)])


@pytest.mark.parametrize(
    ("values", "ratio"),
    [
        ({"state_mb": 128.0}, 2.0),
        ({"bytes_per_s": 4_500.0, "state_mb": 16.0}, 0.5),
        ({"core_ratio": 0.046}, 1.0),
        ({"reads_per_s": 6_000.0}, 3.0),
    ],
)
def test_a_row_is_judged_by_its_tightest_bound(values, ratio):
    """Guards against a miss that another column covers."""
    found = _row(**values)
    assert found.use_ratio == pytest.approx(ratio)
    assert found.holds == (ratio <= 1.0)
    assert found.verdict.startswith("holds" if ratio <= 1 else "**misses**")


def test_sum_adds_every_column():
    """Guards against rows that hold while their sum misses."""
    one = _row(
        state_mb=40.0,
        messages_per_s=10.0,
        bytes_per_s=6_000.0,
        core_ratio=0.03,
        reads_per_s=1.0,
        error_ratio=0.1,
    )
    found = row.total(row.Role.EVERY, "sum", [one, one])
    assert one.holds
    assert not found.holds
    assert found.state_mb == 80.0
    assert found.messages_per_s == 20.0
    assert found.bytes_per_s == 12_000.0
    assert found.core_ratio == pytest.approx(0.06)
    assert found.reads_per_s == 2.0
    assert found.error_ratio == 0.1
    assert found.packet_bytes_per_s == 12_000.0 + 20 * size.PACKET_BYTES


def test_a_line_has_a_cell_for_each_column():
    """Guards against values under the wrong heading."""
    line = table.line(_row(core_ratio=0.023, bytes_per_s=1_234.0))
    cells = [cell.strip() for cell in line.strip("|").split("|")]
    assert len(cells) == 11
    assert cells[4] == "1,234"
    assert cells[6] == "2.3"
    assert cells[9] == "holds 0.5x"


def test_frames_count_websocket_header_and_mask():
    """Guards against sizes without framing."""
    nudge = messages.Nudge(service="s", epoch=1)
    frame = len(
        wireformat.encode_frame(
            [
                wireformat.encode_envelope(
                    wireformat.EnvelopeKind.NOTIFICATION, 0, nudge
                )
            ]
        )
    )
    assert framing.tell_bytes(nudge) == frame + 2 + 4
    long = messages.Nudge(service="s" * 200, epoch=1)
    frame = len(
        wireformat.encode_frame(
            [
                wireformat.encode_envelope(
                    wireformat.EnvelopeKind.RESPONSE, 1, long
                )
            ]
        )
    )
    # The id of the question takes 4 bytes more than 1 does.
    assert framing.answer_bytes(long) == frame + 4 + 4


def test_planned_size_is_that_of_the_design():
    """Guards against a table for another fleet."""
    assert (size.HOSTS, size.TARGETS, size.SERVICES) == (640, 9_800, 240)
    assert (size.TEAMS, size.ROUTES) == (64_000, 12_000)
    assert math.isclose(size.HOST_REQUESTS_PER_S, 81.25)
