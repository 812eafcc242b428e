"""Tests of ``pomeloward-view`` and ``pomeloward-burn`` over HTTP."""

import http.server
import json
import threading

import pytest

from pomeloward.commands import burn
from pomeloward.commands import view

_STATUS = {"host": "h1", "state": "ready", "version": 7, "parts": {"a": 1}}
_DECISION = {
    "at_ms": 1500.0,
    "kind": "ejected",
    "reason": "slow",
    "target": "t1",
}
_SILENT = "http://127.0.0.1:9"


class _Host(http.server.BaseHTTPRequestHandler):
    good = 0

    def do_GET(self):  # noqa: N802
        series = {
            "team": "crew",
            "service": "orders",
            "zone": "opuwo",
            "good": _Host.good,
            "bad": _Host.good // 2,
        }
        answers = {
            "/.pomeloward/status": _STATUS,
            "/.pomeloward/explain/t1": {"decisions": [_DECISION]},
            "/.pomeloward/histograms": {
                "host": "h1",
                "incarnation": 1,
                "series": [series],
            },
        }
        found = answers.get(self.path)
        _Host.good += 100
        self.send_response(404 if found is None else 200)
        self.end_headers()
        self.wfile.write(json.dumps(found or {}).encode())

    def log_message(self, *arguments):
        pass


@pytest.fixture
def host():
    server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), _Host)
    thread = threading.Thread(target=server.serve_forever)
    thread.start()
    yield f"http://127.0.0.1:{server.server_port}"
    server.shutdown()
    thread.join()
    server.server_close()


def test_fleet_counts_versions_and_silent_hosts(host, capsys):
    """Guards against a fleet view that hides a host that is down."""
    assert view.main(["fleet", host, _SILENT]) == 0
    out = capsys.readouterr().out
    assert f"{host}  host=h1 state=ready version=7" in out
    assert f"{_SILENT}  silent" in out
    assert "2 hosts: 1 at version 7; 1 silent" in out


def test_host_shows_all_facts(host, capsys):
    """Guards against nested facts that are left out."""
    assert view.main(["host", host]) == 0
    assert '"a": 1' in capsys.readouterr().out


def test_explain_names_the_host_and_decision(host, capsys):
    """Guards against an ejection that operators cannot explain."""
    assert view.main(["explain", "t1", host, _SILENT]) == 0
    out = capsys.readouterr().out
    assert host in out
    assert "1.500 ejected: slow (target=t1)" in out
    assert view.main(["explain", "t9", host]) == 69


def test_exit_statuses(host, capsys):
    """Guards against scripts that take a failure for success."""
    assert view.main(["fleet", _SILENT]) == 69
    assert burn.main([_SILENT]) == 69
    for program in (lambda: view.main(["host"]), lambda: burn.main([])):
        with pytest.raises(SystemExit) as caught:
            program()
        assert caught.value.code == 64
    assert burn.main([f"{host}/none"]) == 65


def test_burn_reports_over_its_history(host, tmp_path, capsys):
    """Guards against a run that forgets the samples of the last one."""
    history = tmp_path / "history.json"
    page = tmp_path / "burn.html"
    arguments = [host, "--history", str(history), "--html", str(page)]
    assert burn.main(arguments) == 0
    assert "ALERT" not in capsys.readouterr().out
    assert burn.main(arguments) == 0
    assert "333.33/333.33 ALERT" in capsys.readouterr().out
    assert "ALERT" in page.read_text()
