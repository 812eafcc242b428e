"""Memory of a process with the libraries, before any state."""

import os
import subprocess
import sys

_CODE = (
    "import {module}, psutil; print(psutil.Process().memory_info().rss / 1e6)"
)


def resident_mb(module: str) -> float:
    """Return the resident memory of a process after an import."""
    found = subprocess.run(
        [sys.executable, "-c", _CODE.format(module=module)],
        check=True,
        capture_output=True,
        text=True,
        env=os.environ,
    )
    return float(found.stdout)
