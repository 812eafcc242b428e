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
_SILENT_HOST_URL = "http://127.0.0.1:9"


class _FakeHostHandler(http.server.BaseHTTPRequestHandler):
    good_count = 0

    def do_GET(self):  # noqa: N802
        series = {
            "team": "crew",
            "service": "orders",
            "zone": "opuwo",
            "good": _FakeHostHandler.good_count,
            "bad": _FakeHostHandler.good_count // 2,
        }
        documents = {
            "/.pomeloward/status": _STATUS,
            "/.pomeloward/explain/t1": {"decisions": [_DECISION]},
            "/.pomeloward/histograms": {
                "host": "h1",
                "incarnation": 1,
                "series": [series],
            },
        }
        document = documents.get(self.path)
        _FakeHostHandler.good_count += 100
        self.send_response(404 if document is None else 200)
        self.end_headers()
        self.wfile.write(json.dumps(document or {}).encode())

    def log_message(self, *arguments):
        pass


@pytest.fixture
def host_url():
    server = http.server.ThreadingHTTPServer(
        ("127.0.0.1", 0), _FakeHostHandler
    )
    thread = threading.Thread(target=server.serve_forever)
    thread.start()
    yield f"http://127.0.0.1:{server.server_port}"
    server.shutdown()
    thread.join()
    server.server_close()


def test_view_fleet_counts_versions_and_silent_hosts(host_url, capsys):
    """Guards against a fleet view that hides a host that is down."""
    assert view.main(["fleet", host_url, _SILENT_HOST_URL]) == 0
    out = capsys.readouterr().out
    assert f"{host_url}  host=h1 state=ready version=7" in out
    assert f"{_SILENT_HOST_URL}  silent" in out
    assert "2 hosts: 1 at version 7; 1 silent" in out


def test_view_host_shows_nested_status(host_url, capsys):
    """Guards against nested status fields that are left out."""
    assert view.main(["host", host_url]) == 0
    assert '"a": 1' in capsys.readouterr().out


def test_view_explain_names_the_host_and_decision(host_url, capsys):
    """Guards against an ejection that operators cannot explain."""
    assert view.main(["explain", "t1", host_url, _SILENT_HOST_URL]) == 0
    out = capsys.readouterr().out
    assert host_url in out
    assert "1.500 ejected: slow (target=t1)" in out
    assert view.main(["explain", "t9", host_url]) == 69


def test_exit_statuses(host_url, capsys):
    """Guards against a failure that scripts see as success."""
    assert view.main(["fleet", _SILENT_HOST_URL]) == 69
    assert burn.main([_SILENT_HOST_URL]) == 69
    for run_without_hosts in (
        lambda: view.main(["host"]),
        lambda: burn.main([]),
    ):
        with pytest.raises(SystemExit) as system_exit:
            run_without_hosts()
        assert system_exit.value.code == 64
    assert burn.main([f"{host_url}/none"]) == 65


def test_burn_reports_over_the_history_file(host_url, tmp_path, capsys):
    """Guards against a run that ignores the samples of the previous run."""
    history_path = tmp_path / "history.json"
    html_path = tmp_path / "burn.html"
    arguments = [
        host_url,
        "--history",
        str(history_path),
        "--html",
        str(html_path),
    ]
    assert burn.main(arguments) == 0
    assert "ALERT" not in capsys.readouterr().out
    assert burn.main(arguments) == 0
    assert "333.33/333.33 ALERT" in capsys.readouterr().out
    assert "ALERT" in html_path.read_text()
