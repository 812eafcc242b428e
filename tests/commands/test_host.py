"""Tests of the exit statuses of ``pomeloward-host``."""

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


def _write_settings(tmp_path, caller_port, **overrides):
    records_path = tmp_path / "records.json"
    records_path.write_text(json.dumps(harness.records([])))
    values = {
        "host_id": "h1",
        "zone": "z",
        "region": "r",
        "address": "127.0.0.1",
        "caller_port": caller_port,
        "configuration_file": str(records_path),
    } | overrides
    settings_path = tmp_path / "host.toml"
    lines = [f"{name} = {json.dumps(value)}" for name, value in values.items()]
    settings_path.write_text("\n".join(lines) + "\n[drain]\naccept_ms = 0\n")
    return str(settings_path)


def test_invalid_settings_exit_with_78(tmp_path, capsys):
    """Guards against a traceback in place of a one-line error message."""
    settings_path = _write_settings(tmp_path, 0)
    assert host.main(["--settings", settings_path]) == 78
    error = capsys.readouterr().err
    assert error.startswith("pomeloward-host: caller_port: found 0")
    assert error.count("\n") == 1


def test_missing_argument_exits_with_64():
    """Guards against argparse's exit status 2, which sysexits.h lacks."""
    with pytest.raises(SystemExit) as system_exit:
        host.main([])
    assert system_exit.value.code == 64


def test_address_in_use_exits_with_69(tmp_path, capsys):
    """Guards against a host that hangs when it cannot bind its address."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        settings_path = _write_settings(tmp_path, listener.getsockname()[1])
        assert host.main(["--settings", settings_path]) == 69
    assert "in use" in capsys.readouterr().err


def test_terminated_host_exits_with_0(tmp_path):
    """Guards against a graceful stop that is reported as a failure."""
    port = harness.free_port()
    settings_path = _write_settings(tmp_path, port)
    process = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "pomeloward.commands.host",
            "--settings",
            settings_path,
        ],
        env=os.environ,
    )
    for _ in range(200):
        with socket.socket() as client_socket:
            if client_socket.connect_ex(("127.0.0.1", port)) == 0:
                break
        time.sleep(0.05)
    process.send_signal(signal.SIGTERM)
    assert process.wait(10) == 0
