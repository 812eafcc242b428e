"""Starts a host from a checkout, without an installed package."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "src"))

from pomeloward.commands import edge  # noqa: E402

if __name__ == "__main__":
    sys.exit(edge.main())
