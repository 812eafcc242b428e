"""Tests of ``pomeloward-plan`` through its arguments and exit statuses."""

import msgspec
import pytest

from pomeloward import catalog
from pomeloward.commands import plan
from tests.catalog import samples


@pytest.fixture
def configuration_path(tmp_path):
    path = tmp_path / "in-force.json"
    document = {"version": 4, "records": samples.records()}
    path.write_bytes(msgspec.json.encode(document))
    return str(path)


def _write_sheet(tmp_path, content):
    path = tmp_path / "sheet.csv"
    path.write_bytes(
        content if isinstance(content, bytes) else content.encode()
    )
    return str(path)


def test_sheet_writes_the_changes_to_publish(
    tmp_path, configuration_path, capsys
):
    """Guards against change files in a format that hosts reject."""
    sheet_path = _write_sheet(
        tmp_path, "\ufeffkind,id,rate_per_s\nteam,crew,12\n"
    )
    out_directory = tmp_path / "out"
    arguments = ["sheet", sheet_path, "--configuration", configuration_path]
    assert plan.main([*arguments, "--out", str(out_directory)]) == 0
    assert "crew: rate_per_s 10.0 -> 12.0" in capsys.readouterr().out
    change_json = (out_directory / "change-5.json").read_bytes()
    change = msgspec.json.decode(change_json, type=catalog.Change)
    configuration = samples.configuration(4).applied(change)
    assert configuration.team("crew").rate_per_s == 12.0
    assert b"change-5.json" in (out_directory / "schedule.json").read_bytes()


@pytest.mark.parametrize(
    ("content", "error_location"),
    [
        ("kind,id,rate_per_s\nteam,crew,0\n", "line 2, column rate_per_s"),
        (b"kind,id\nteam,\xff\n", "line 2, column 1: not UTF-8"),
    ],
)
def test_invalid_sheet_exits_with_65_and_writes_nothing(
    tmp_path, configuration_path, capsys, content, error_location
):
    """Guards against publishing the valid part of an invalid sheet."""
    out_directory = tmp_path / "out"
    arguments = [
        "sheet",
        _write_sheet(tmp_path, content),
        "--out",
        str(out_directory),
    ]
    assert plan.main([*arguments, "--configuration", configuration_path]) == 65
    assert error_location in capsys.readouterr().err
    assert not out_directory.exists()


def test_check_names_the_invalid_field(tmp_path, capsys):
    """Guards against an invalid configuration that only hosts detect."""
    records = [*samples.records(), catalog.Team("mill", -1.0, 1.0)]
    path = tmp_path / "configuration.json"
    path.write_bytes(msgspec.json.encode(records))
    assert plan.main(["check", str(path)]) == 65
    assert "team mill: rate_per_s" in capsys.readouterr().err


def test_exit_statuses(tmp_path, configuration_path, capsys):
    """Guards against a failure that scripts see as success."""
    assert plan.main(["check", configuration_path]) == 0
    assert plan.main(["check", str(tmp_path / "none.json")]) == 65
    assert plan.main(["check", str(tmp_path / "none.toml")]) == 78
    arguments = [
        "diff",
        configuration_path,
        "--platform",
        "http://127.0.0.1:9",
    ]
    assert plan.main(arguments) == 69
    assert (
        plan.main(
            ["diff", configuration_path, "--configuration", configuration_path]
        )
        == 0
    )
    with pytest.raises(SystemExit) as system_exit:
        plan.main(["sheet"])
    assert system_exit.value.code == 64
