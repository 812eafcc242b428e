"""Rows and plans of morning sheets for tests."""

from pomeloward import catalog
from tests.catalog import samples

NOW_S = 1_796_371_200.0
HEADER = (
    "kind,action,id,from,until,team,digest,service,site,share_ratio,"
    "rate_per_s,burst_requests,path_prefix,methods,region,number,hosts\n"
)


def row(**cells):
    """Write one line of a sheet by its columns."""
    columns = HEADER.strip().split(",")
    cells = {key.rstrip("_"): value for key, value in cells.items()}
    assert set(cells) <= set(columns)
    return ",".join(cells.get(column, "") for column in columns) + "\n"


def plan(*lines, now_s=NOW_S):
    rows = catalog.read_sheet(HEADER + "".join(lines), now_s)
    view = samples.configuration(4)
    return catalog.SheetPlan(view, rows, now_s).changes()


def after(planned, count=None):
    view = samples.configuration(4)
    for each in planned[:count]:
        view = view.applied(each.change)
    return view
