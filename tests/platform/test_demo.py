"""Plays the demo of the README's first screen."""

import pathlib
import subprocess
import sys

_ROOT = pathlib.Path(__file__).parents[2]


def test_demo_plays_to_its_summary_without_a_failure():
    """The demo ended with a traceback, and no test noticed."""
    played = subprocess.run(
        [sys.executable, "-m", "tests.platform.demo"],
        cwd=_ROOT,
        env={"PYTHONPATH": f"{_ROOT / 'src'}:{_ROOT}"},
        capture_output=True,
        text=True,
        timeout=120,
        check=False,
    )
    assert played.returncode == 0, played.stdout + played.stderr
    assert "demo passed" in played.stdout
    assert "FAIL" not in played.stdout
