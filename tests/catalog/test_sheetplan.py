"""Tests of the changes that a morning sheet becomes."""

import pathlib

import pytest

from pomeloward import catalog
from pomeloward import model
from tests.catalog import samples
from tests.catalog import sheets


def test_rows_become_changes_in_time_order():
    """Guards against a change published before its time or base."""
    planned = sheets.plan(
        sheets.row(
            kind="team", id="crew", from_="2026-12-05T08:00Z", rate_per_s="7"
        ),
        sheets.row(kind="zone", id="opuwo", action="out"),
        sheets.row(kind="team", id="mill", rate_per_s="2", burst_requests="4"),
    )
    assert [each.change.version for each in planned] == [5, 6]
    assert planned[0].at_s == sheets.NOW_S
    assert catalog.when(planned[1].at_s) == "2026-12-05T08:00:00Z"
    assert sheets.after(planned, 1).zone("opuwo").is_out
    assert sheets.after(planned, 1).team("crew").rate_per_s == 10.0
    assert sheets.after(planned).team("crew") == catalog.Team(
        "crew", 7.0, 20.0
    )
    assert planned[1].differences == ("~ team crew: rate_per_s 10.0 -> 7.0",)


def test_until_brings_back_what_was_before():
    """Guards against a zone or share that stays moved."""
    until = "2026-12-05T09:00+02:00"
    planned = sheets.plan(
        sheets.row(kind="zone", id="opuwo", action="out", until=until),
        sheets.row(
            kind="share",
            service="orders",
            site="west",
            share_ratio="1",
            until=until,
        ),
        sheets.row(
            kind="share",
            service="orders",
            site="east",
            share_ratio="0",
            until=until,
        ),
        sheets.row(
            kind="team",
            id="guest",
            rate_per_s="1",
            burst_requests="1",
            until=until,
        ),
    )
    moved = sheets.after(planned, 1)
    assert moved.shares("orders") == {"west": 1.0, "east": 0.0}
    assert moved.team("guest") is not None
    after = sheets.after(planned)
    assert catalog.when(planned[1].at_s) == "2026-12-05T07:00:00Z"
    assert after.shares("orders") == {"west": 0.25, "east": 0.75}
    assert not after.zone("opuwo").is_out
    assert after.team("guest") is None


def test_key_is_withdrawn_and_granted_by_digest():
    """Guards against a key that is named in clear or kept."""
    planned = sheets.plan(
        sheets.row(
            kind="key", action="withdraw", digest=samples.digest("k1").hex()
        ),
        sheets.row(
            kind="key",
            action="grant",
            digest=samples.digest("k2").hex(),
            team="depot",
        ),
    )
    view = sheets.after(planned)
    assert view.team_of_key(samples.digest("k1")) is None
    assert view.team_of_key(samples.digest("k2")) == "depot"


def test_change_above_a_value_of_the_platform_is_refused():
    """Guards against a plan that cannot be published."""
    rows = [
        sheets.row(kind="team", id=f"t{n}", rate_per_s="1", burst_requests="1")
        for n in range(14_000)
    ]
    with pytest.raises(model.SheetError, match="line 2, column from: 14000"):
        sheets.plan(*rows)


def test_rows_that_undo_each_other_are_refused():
    """Guards against a revert that takes back another row's change."""
    with pytest.raises(model.SheetError, match="line 3.*overlaps line 2"):
        sheets.plan(
            sheets.row(
                kind="zone",
                id="opuwo",
                action="out",
                until="2026-12-05T10:00Z",
            ),
            sheets.row(
                kind="zone",
                id="opuwo",
                action="out",
                from_="2026-12-05T09:00Z",
            ),
        )


@pytest.mark.parametrize(
    ("delay", "is_allowed"), [("08:09:59", False), ("08:10:00", True)]
)
def test_roster_is_retired_600_s_after_its_successor(delay, is_allowed):
    """Guards against two majorities that share no voter."""
    lines = (
        sheets.row(
            kind="roster",
            region="south",
            number="2",
            hosts="h2 h1",
            from_="2026-12-05T08:00Z",
        ),
        sheets.row(
            kind="roster",
            action="retire",
            region="south",
            number="1",
            from_=f"2026-12-05T{delay}Z",
        ),
    )
    if not is_allowed:
        with pytest.raises(model.SheetError, match="may be retired from"):
            sheets.plan(*lines)
        return
    rosters = sheets.after(sheets.plan(*lines)).rosters("south")
    assert rosters == [
        catalog.Roster("south", 2, ("h2", "h1"), ("khorixas", "opuwo"))
    ]


def test_roster_in_force_counts_from_now():
    """Guards against retiring a roster whose successor is just published."""
    view = samples.configuration(4).applied(
        samples.change(4, [catalog.Roster("south", 2, ("h1",))])
    )
    retire = sheets.row(
        kind="roster", action="retire", region="south", number="1"
    )
    rows = catalog.read_sheet(sheets.HEADER + retire, sheets.NOW_S)
    with pytest.raises(model.SheetError, match="line 2, column from"):
        catalog.SheetPlan(view, rows, sheets.NOW_S).changes()


def test_example_of_the_page_for_operators_is_valid():
    """Guards against documentation that the program refuses."""
    page = pathlib.Path("docs/operators.md").read_text()
    lines = [line[4:] for line in page.splitlines() if line[:4] == "    "]
    start = lines.index(next(each for each in lines if each[:5] == "kind,"))
    rows = catalog.read_sheet("\n".join(lines[start:]), sheets.NOW_S)
    assert len(rows) == 5
    view = samples.configuration(4)
    planned = catalog.SheetPlan(view, rows, sheets.NOW_S).changes()
    assert [len(each.differences) for each in planned] == [2, 1, 1]
