"""Tests of the planners' morning sheet."""

import pathlib

import pytest

from pomeloward import catalog
from pomeloward import model
from tests.catalog import samples

_NOW_S = 1_796_371_200.0
_HEADER = (
    "kind,action,id,from,until,team,digest,service,site,share_ratio,"
    "rate_per_s,burst_requests,path_prefix,methods,region,number,hosts\n"
)


def _row(**cells):
    """Write one line of a sheet by its columns."""
    columns = _HEADER.strip().split(",")
    cells = {key.rstrip("_"): value for key, value in cells.items()}
    assert set(cells) <= set(columns)
    return ",".join(cells.get(column, "") for column in columns) + "\n"


def _plan(*lines, now_s=_NOW_S):
    rows = catalog.read_sheet(_HEADER + "".join(lines), now_s)
    view = samples.configuration(4)
    return catalog.SheetPlan(view, rows, now_s).changes()


def _after(planned, count=None):
    view = samples.configuration(4)
    for each in planned[:count]:
        view = view.applied(each.change)
    return view


def test_rows_become_changes_in_time_order():
    """Guards against a change published before its time or base."""
    planned = _plan(
        _row(
            kind="team", id="crew", from_="2026-12-05T08:00Z", rate_per_s="7"
        ),
        _row(kind="zone", id="opuwo", action="out"),
        _row(kind="team", id="mill", rate_per_s="2", burst_requests="4"),
    )
    assert [each.change.version for each in planned] == [5, 6]
    assert planned[0].at_s == _NOW_S
    assert catalog.when(planned[1].at_s) == "2026-12-05T08:00:00Z"
    assert _after(planned, 1).zone("opuwo").is_out
    assert _after(planned, 1).team("crew").rate_per_s == 10.0
    assert _after(planned).team("crew") == catalog.Team("crew", 7.0, 20.0)
    assert planned[1].differences == ("~ team crew: rate_per_s 10.0 -> 7.0",)


def test_until_brings_back_what_was_before():
    """Guards against a zone or share that stays moved."""
    until = "2026-12-05T09:00+02:00"
    planned = _plan(
        _row(kind="zone", id="opuwo", action="out", until=until),
        _row(
            kind="share",
            service="orders",
            site="west",
            share_ratio="1",
            until=until,
        ),
        _row(
            kind="share",
            service="orders",
            site="east",
            share_ratio="0",
            until=until,
        ),
        _row(
            kind="team",
            id="guest",
            rate_per_s="1",
            burst_requests="1",
            until=until,
        ),
    )
    moved = _after(planned, 1)
    assert moved.shares("orders") == {"west": 1.0, "east": 0.0}
    assert moved.team("guest") is not None
    after = _after(planned)
    assert catalog.when(planned[1].at_s) == "2026-12-05T07:00:00Z"
    assert after.shares("orders") == {"west": 0.25, "east": 0.75}
    assert not after.zone("opuwo").is_out
    assert after.team("guest") is None


def test_key_is_withdrawn_and_granted_by_digest():
    """Guards against a key that is named in clear or kept."""
    planned = _plan(
        _row(kind="key", action="withdraw", digest=samples.digest("k1").hex()),
        _row(
            kind="key",
            action="grant",
            digest=samples.digest("k2").hex(),
            team="depot",
        ),
    )
    view = _after(planned)
    assert view.team_of_key(samples.digest("k1")) is None
    assert view.team_of_key(samples.digest("k2")) == "depot"


@pytest.mark.parametrize(
    ("line", "place"),
    [
        (_row(kind="tem", id="x"), "line 2, column kind"),
        (_row(kind="zone", id="opuwo", action="gone"), "column action"),
        (_row(kind="team", id="crew", action="out"), "column action"),
        (_row(kind="team", id="none", action="delete"), "column action"),
        (_row(kind="team", rate_per_s="1"), "column id"),
        (_row(kind="team", id="new"), "column rate_per_s"),
        (_row(kind="team", id="crew", rate_per_s="ten"), "rate_per_s"),
        (_row(kind="team", id="crew", rate_per_s="-1"), "rate_per_s"),
        (_row(kind="team", id="crew", rate_per_s="nan"), "rate_per_s"),
        (_row(kind="team", id="crew", site="west"), "column site"),
        (_row(kind="team", id="crew", from_="8 o'clock"), "column from"),
        (_row(kind="team", id="crew", from_="2026-12-05T08:00"), "from"),
        (_row(kind="team", id="crew", until="2026-01-01T08:00Z"), "until"),
        (_row(kind="key", digest="xyz", team="crew"), "column digest"),
        (
            _row(kind="key", digest="ab" * 32, team="none"),
            "column team",
        ),
        (
            _row(
                kind="share", service="orders", site="west", share_ratio="0.5"
            ),
            "column share_ratio",
        ),
        (
            _row(
                kind="route",
                id="x",
                service="orders",
                path_prefix="/orders",
                methods="GET",
            ),
            "column path_prefix",
        ),
        (
            _row(kind="route", id="x", service="none", path_prefix="/x"),
            "column service",
        ),
        (
            _row(kind="roster", region="south", number="2", hosts="h1 h9"),
            "column hosts",
        ),
        (
            _row(kind="roster", action="retire", region="south", number="1"),
            "roster",
        ),
        ("team,,a" + "," * 30 + "\n", "line 2, column 18"),
        ('team,"\n', "line 2"),
    ],
)
def test_broken_row_is_refused_with_its_place(line, place):
    """Guards against a sheet that is published in part or in vain."""
    with pytest.raises(model.SheetError, match="^line 2, column ") as caught:
        _plan(line)
    assert place in str(caught.value)


def test_change_above_a_value_of_the_platform_is_refused():
    """Guards against a plan that cannot be published."""
    rows = [
        _row(kind="team", id=f"t{n}", rate_per_s="1", burst_requests="1")
        for n in range(14_000)
    ]
    with pytest.raises(model.SheetError, match="line 2, column from: 14000"):
        _plan(*rows)


def test_unknown_column_is_refused():
    """Guards against a misspelt column that is silently ignored."""
    with pytest.raises(model.SheetError, match="line 1, column rate: "):
        catalog.read_sheet("kind,id,rate\nteam,crew,1\n", _NOW_S)


def test_rows_that_undo_each_other_are_refused():
    """Guards against a revert that takes back another row's change."""
    with pytest.raises(model.SheetError, match="line 3.*overlaps line 2"):
        _plan(
            _row(
                kind="zone",
                id="opuwo",
                action="out",
                until="2026-12-05T10:00Z",
            ),
            _row(
                kind="zone",
                id="opuwo",
                action="out",
                from_="2026-12-05T09:00Z",
            ),
        )


def test_semicolons_comments_and_byte_order_mark_are_read():
    """Guards against exports of other locales that are misread."""
    text = "kind;id;rate_per_s\n# comment;;\n;;\nteam;crew;3\n"
    rows = catalog.read_sheet(text, _NOW_S)
    assert [(row.line, row.name()) for row in rows] == [(4, "crew")]


@pytest.mark.parametrize(
    ("delay", "is_allowed"), [("08:09:59", False), ("08:10:00", True)]
)
def test_roster_is_retired_600_s_after_its_successor(delay, is_allowed):
    """Guards against two majorities that share no voter."""
    lines = (
        _row(
            kind="roster",
            region="south",
            number="2",
            hosts="h2 h1",
            from_="2026-12-05T08:00Z",
        ),
        _row(
            kind="roster",
            action="retire",
            region="south",
            number="1",
            from_=f"2026-12-05T{delay}Z",
        ),
    )
    if not is_allowed:
        with pytest.raises(model.SheetError, match="may be retired from"):
            _plan(*lines)
        return
    rosters = _after(_plan(*lines)).rosters("south")
    assert rosters == [
        catalog.Roster("south", 2, ("h2", "h1"), ("khorixas", "opuwo"))
    ]


def test_roster_in_force_counts_from_now():
    """Guards against retiring a roster whose successor is just published."""
    view = samples.configuration(4).applied(
        samples.change(4, [catalog.Roster("south", 2, ("h1",))])
    )
    retire = _row(kind="roster", action="retire", region="south", number="1")
    rows = catalog.read_sheet(_HEADER + retire, _NOW_S)
    with pytest.raises(model.SheetError, match="line 2, column from"):
        catalog.SheetPlan(view, rows, _NOW_S).changes()


def test_example_of_the_page_for_operators_is_valid():
    """Guards against documentation that the program refuses."""
    page = pathlib.Path("docs/operators.md").read_text()
    lines = [line[4:] for line in page.splitlines() if line[:4] == "    "]
    start = lines.index(next(each for each in lines if each[:5] == "kind,"))
    rows = catalog.read_sheet("\n".join(lines[start:]), _NOW_S)
    assert len(rows) == 5
    view = samples.configuration(4)
    planned = catalog.SheetPlan(view, rows, _NOW_S).changes()
    assert [len(each.differences) for each in planned] == [2, 1, 1]
