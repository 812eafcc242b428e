"""``pomeloward-plan``: checks settings and plans configuration changes.

Exit statuses are 0, 64 for wrong usage, 65 for an invalid configuration or
sheet, 69 when the platform is unavailable, and 78 for wrong settings.
"""

import argparse
import pathlib
import sys
import time

import msgspec

from pomeloward import catalog
from pomeloward import model
from pomeloward import settings
from pomeloward.commands import exitstatus
from pomeloward.commands import hostreader


def main(arguments: list[str] | None = None) -> int:
    """Run one subcommand; return the exit status."""
    parsed = _build_parser().parse_args(arguments)
    try:
        parsed.run(parsed)
    except model.SettingsError as error:
        return _print_error(error, exitstatus.SETTINGS_ERROR)
    except (model.ConfigurationError, model.SheetError, OSError) as error:
        return _print_error(error, exitstatus.DATA_ERROR)
    except model.PlatformUnavailable as error:
        return _print_error(error, exitstatus.UNAVAILABLE)
    return 0


def _build_parser() -> argparse.ArgumentParser:
    parser = exitstatus.SysexitsParser(
        prog="pomeloward-plan", description=__doc__
    )
    subcommands = parser.add_subparsers(required=True, dest="command")
    check_parser = subcommands.add_parser(
        "check", help="check a settings file (.toml) or a configuration"
    )
    check_parser.add_argument("file", type=pathlib.Path)
    check_parser.set_defaults(run=_check_file)
    sheet_parser = subcommands.add_parser(
        "sheet", help="turn a CSV sheet into the changes to publish"
    )
    sheet_parser.add_argument("sheet", type=pathlib.Path)
    hostreader.add_configuration_arguments(
        sheet_parser.add_mutually_exclusive_group(required=True)
    )
    sheet_parser.add_argument(
        "--out", type=pathlib.Path, help="directory for the changes"
    )
    sheet_parser.add_argument(
        "--now",
        type=float,
        default=time.time(),
        help="current time, in seconds since the epoch",
    )
    sheet_parser.set_defaults(run=_plan_sheet)
    diff_parser = subcommands.add_parser(
        "diff", help="compare a configuration with a file"
    )
    diff_parser.add_argument("file", type=pathlib.Path)
    hostreader.add_configuration_arguments(
        diff_parser.add_mutually_exclusive_group(required=True)
    )
    diff_parser.set_defaults(run=_print_differences)
    reference_parser = subcommands.add_parser(
        "reference", help="print the reference of all settings"
    )
    reference_parser.set_defaults(run=_print_settings_reference)
    return parser


def _print_settings_reference(parsed: argparse.Namespace) -> None:
    print(settings.render_reference(), end="")


def _check_file(parsed: argparse.Namespace) -> None:
    if parsed.file.suffix == ".toml":
        settings.load(parsed.file)
        print(f"{parsed.file}: settings are valid")
        return
    configuration = catalog.parse_file(parsed.file.read_bytes())
    print(f"{parsed.file}: version {configuration.version} is valid")
    for kind in catalog.Kind:
        print(f"  {kind.value}: {configuration.count(kind)}")


def _plan_sheet(parsed: argparse.Namespace) -> None:
    in_force_configuration = hostreader.read_configuration(parsed)
    sheet_text = _read_sheet_text(parsed.sheet)
    rows = catalog.read_sheet(sheet_text, parsed.now)
    planned_changes = catalog.SheetPlan(
        in_force_configuration, rows, parsed.now
    ).changes()
    for planned_change in planned_changes:
        print(
            f"{catalog.when(planned_change.at_s)} "
            f"version {planned_change.change.version}"
        )
        for difference in planned_change.differences:
            print(f"  {difference}")
    if not planned_changes:
        print("the configuration in force already matches the sheet")
    if parsed.out is not None:
        _write_changes(parsed.out, planned_changes)


def _print_differences(parsed: argparse.Namespace) -> None:
    new_configuration = catalog.parse_file(parsed.file.read_bytes())
    for difference in catalog.differences_between(
        hostreader.read_configuration(parsed), new_configuration
    ):
        print(difference)


def _read_sheet_text(path: pathlib.Path) -> str:
    try:
        return path.read_text(encoding="utf-8-sig")
    except UnicodeDecodeError as error:
        line_number = error.object[: error.start].count(b"\n") + 1
        raise model.SheetError(
            f"line {line_number}, column 1: not UTF-8"
        ) from error


def _write_changes(
    directory: pathlib.Path, planned_changes: list[catalog.PlannedChange]
) -> None:
    """Write each change in its published format, and their schedule."""
    directory.mkdir(parents=True, exist_ok=True)
    schedule = []
    for planned_change in planned_changes:
        file_name = f"change-{planned_change.change.version}.json"
        (directory / file_name).write_bytes(
            catalog.encode_change(planned_change.change)
        )
        schedule.append(
            {"at": catalog.when(planned_change.at_s), "file": file_name}
        )
    schedule_json = msgspec.json.format(msgspec.json.encode(schedule))
    (directory / "schedule.json").write_bytes(schedule_json)


def _print_error(error: Exception, exit_status: int) -> int:
    """Print the error; return the exit status."""
    print(f"pomeloward-plan: {error}", file=sys.stderr)
    return exit_status


if __name__ == "__main__":
    sys.exit(main())
