"""Tests of ``pomeloward-plan`` through its arguments and exit statuses."""

import msgspec
import pytest

from pomeloward import catalog
from pomeloward.commands import plan
from tests.catalog import samples


@pytest.fixture
def in_force(tmp_path):
    file = tmp_path / "in-force.json"
    document = {"version": 4, "records": samples.records()}
    file.write_bytes(msgspec.json.encode(document))
    return str(file)


def _sheet(tmp_path, text):
    file = tmp_path / "sheet.csv"
    file.write_bytes(text if isinstance(text, bytes) else text.encode())
    return str(file)


def test_sheet_writes_the_changes_to_publish(tmp_path, in_force, capsys):
    """Guards against files that differ from what hosts accept."""
    sheet = _sheet(tmp_path, "\ufeffkind,id,rate_per_s\nteam,crew,12\n")
    out = tmp_path / "out"
    arguments = ["sheet", sheet, "--configuration", in_force]
    assert plan.main([*arguments, "--out", str(out)]) == 0
    assert "crew: rate_per_s 10.0 -> 12.0" in capsys.readouterr().out
    payload = (out / "change-5.json").read_bytes()
    changed = msgspec.json.decode(payload, type=catalog.Change)
    view = samples.configuration(4).applied(changed)
    assert view.team("crew").rate_per_s == 12.0
    assert b"change-5.json" in (out / "schedule.json").read_bytes()


@pytest.mark.parametrize(
    ("text", "place"),
    [
        ("kind,id,rate_per_s\nteam,crew,0\n", "line 2, column rate_per_s"),
        (b"kind,id\nteam,\xff\n", "line 2, column 1: not UTF-8"),
    ],
)
def test_broken_sheet_exits_65_and_writes_nothing(
    tmp_path, in_force, capsys, text, place
):
    """Guards against publishing the valid part of a broken sheet."""
    out = tmp_path / "out"
    arguments = ["sheet", _sheet(tmp_path, text), "--out", str(out)]
    assert plan.main([*arguments, "--configuration", in_force]) == 65
    assert place in capsys.readouterr().err
    assert not out.exists()


def test_check_names_the_broken_rule(tmp_path, capsys):
    """Guards against a configuration that only hosts find out to be wrong."""
    records = [*samples.records(), catalog.Team("mill", -1.0, 1.0)]
    file = tmp_path / "configuration.json"
    file.write_bytes(msgspec.json.encode(records))
    assert plan.main(["check", str(file)]) == 65
    assert "team mill: rate_per_s" in capsys.readouterr().err


def test_exit_statuses(tmp_path, in_force, capsys):
    """Guards against scripts that take a failure for success."""
    assert plan.main(["check", in_force]) == 0
    assert plan.main(["check", str(tmp_path / "none.json")]) == 65
    assert plan.main(["check", str(tmp_path / "none.toml")]) == 78
    away = ["diff", in_force, "--platform", "http://127.0.0.1:9"]
    assert plan.main(away) == 69
    assert plan.main(["diff", in_force, "--configuration", in_force]) == 0
    with pytest.raises(SystemExit) as caught:
        plan.main(["sheet"])
    assert caught.value.code == 64
