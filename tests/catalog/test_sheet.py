"""Tests of reading the planners' morning sheet."""

import pytest

from pomeloward import catalog
from pomeloward import model
from tests.catalog import sheets


@pytest.mark.parametrize(
    ("line", "place"),
    [
        (sheets.row(kind="tem", id="x"), "line 2, column kind"),
        (sheets.row(kind="zone", id="opuwo", action="gone"), "column action"),
        (sheets.row(kind="team", id="crew", action="out"), "column action"),
        (sheets.row(kind="team", id="none", action="delete"), "column action"),
        (sheets.row(kind="team", rate_per_s="1"), "column id"),
        (sheets.row(kind="team", id="new"), "column rate_per_s"),
        (sheets.row(kind="team", id="crew", rate_per_s="ten"), "rate_per_s"),
        (sheets.row(kind="team", id="crew", rate_per_s="-1"), "rate_per_s"),
        (sheets.row(kind="team", id="crew", rate_per_s="nan"), "rate_per_s"),
        (sheets.row(kind="team", id="crew", site="west"), "column site"),
        (sheets.row(kind="team", id="crew", from_="8 o'clock"), "column from"),
        (sheets.row(kind="team", id="crew", from_="2026-12-05T08:00"), "from"),
        (
            sheets.row(kind="team", id="crew", until="2026-01-01T08:00Z"),
            "until",
        ),
        (sheets.row(kind="key", digest="xyz", team="crew"), "column digest"),
        (
            sheets.row(kind="key", digest="ab" * 32, team="none"),
            "column team",
        ),
        (
            sheets.row(
                kind="share", service="orders", site="west", share_ratio="0.5"
            ),
            "column share_ratio",
        ),
        (
            sheets.row(
                kind="route",
                id="x",
                service="orders",
                path_prefix="/orders",
                methods="GET",
            ),
            "column path_prefix",
        ),
        (
            sheets.row(kind="route", id="x", service="none", path_prefix="/x"),
            "column service",
        ),
        (
            sheets.row(
                kind="roster", region="south", number="2", hosts="h1 h9"
            ),
            "column hosts",
        ),
        (
            sheets.row(
                kind="roster", action="retire", region="south", number="1"
            ),
            "roster",
        ),
        ("team,,a" + "," * 30 + "\n", "line 2, column 18"),
        ('team,"\n', "line 2"),
    ],
)
def test_broken_row_is_refused_with_its_place(line, place):
    """Guards against a sheet that is published in part or in vain."""
    with pytest.raises(model.SheetError, match="^line 2, column ") as caught:
        sheets.plan(line)
    assert place in str(caught.value)


def test_unknown_column_is_refused():
    """Guards against a misspelt column that is silently ignored."""
    with pytest.raises(model.SheetError, match="line 1, column rate: "):
        catalog.read_sheet("kind,id,rate\nteam,crew,1\n", sheets.NOW_S)


def test_semicolons_comments_and_byte_order_mark_are_read():
    """Guards against exports of other locales that are misread."""
    text = "kind;id;rate_per_s\n# comment;;\n;;\nteam;crew;3\n"
    rows = catalog.read_sheet(text, sheets.NOW_S)
    assert [(row.line, row.name()) for row in rows] == [(4, "crew")]
