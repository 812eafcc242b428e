"""Tests of the host command's exit statuses."""

import json
import os
import signal
import socket
import subprocess
import sys
import time

import pytest

from pomeloward.commands import host
from tests.entry import harness


def _settings(tmp_path, port, **changes):
    records = tmp_path / "records.json"
    records.write_text(json.dumps(harness.records([])))
    values = {
        "host_id": "h1",
        "zone": "z",
        "region": "r",
        "address": "127.0.0.1",
        "caller_port": port,
        "configuration_file": str(records),
    } | changes
    path = tmp_path / "host.toml"
    lines = [f"{name} = {json.dumps(value)}" for name, value in values.items()]
    path.write_text("\n".join(lines) + "\n[drain]\naccept_ms = 0\n")
    return str(path)


def test_wrong_settings_exit_with_78(tmp_path, capsys):
    """Guards against a traceback in place of a line for the operator."""
    path = _settings(tmp_path, 0)
    assert host.main(["--settings", path]) == 78
    error = capsys.readouterr().err
    assert error.startswith("pomeloward-host: caller_port: found 0")
    assert error.count("\n") == 1


def test_missing_argument_exits_with_64():
    """Guards against an exit status that sysexits does not define."""
    with pytest.raises(SystemExit) as caught:
        host.main([])
    assert caught.value.code == 64


def test_used_address_exits_with_69(tmp_path, capsys):
    """Guards against a host that hangs without its address."""
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        path = _settings(tmp_path, taken.getsockname()[1])
        assert host.main(["--settings", path]) == 69
    assert "in use" in capsys.readouterr().err


def test_terminated_host_exits_with_0(tmp_path):
    """Guards against a planned stop that looks like a failure."""
    port = harness.free_port()
    path = _settings(tmp_path, port)
    process = subprocess.Popen(
        [sys.executable, "-m", "pomeloward.commands.host", "--settings", path],
        env=os.environ,
    )
    for _ in range(200):
        with socket.socket() as probe:
            if probe.connect_ex(("127.0.0.1", port)) == 0:
                break
        time.sleep(0.05)
    process.send_signal(signal.SIGTERM)
    assert process.wait(10) == 0
