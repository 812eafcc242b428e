"""Writes the table into docs/CAPACITY.md, between its markers."""

import pathlib

BEGIN = "<!-- begin: printed by python -m bench.capacity -->"
END = "<!-- end -->"


def replace(path: pathlib.Path, printed: str) -> None:
    """Put the printed table between the markers of a page.

    Raises ``ValueError`` when the page lacks a marker.
    """
    before, _, rest = path.read_text().partition(BEGIN)
    old, _, after = rest.partition(END)
    if not old:
        raise ValueError(f"{path} has no markers")
    path.write_text(f"{before}{BEGIN}\n\n{printed}\n{END}{after}")
