"""``pomeloward-plan``: checks settings and configurations, plans changes.

Exit statuses are 0, 64 for wrong usage, 65 for a configuration or sheet that
breaks a rule, 69 when the platform is away, and 78 for wrong settings.
"""

import argparse
import pathlib
import sys
import time

import msgspec

from pomeloward import catalog
from pomeloward import model
from pomeloward import settings
from pomeloward.commands import exits
from pomeloward.commands import hosts


def main(arguments: list[str] | None = None) -> int:
    """Run one subcommand."""
    parsed = _parser().parse_args(arguments)
    try:
        parsed.run(parsed)
    except model.SettingsError as error:
        return _failed(error, exits.SETTINGS)
    except (model.ConfigurationError, model.SheetError, OSError) as error:
        return _failed(error, exits.DATA)
    except model.PlatformUnavailable as error:
        return _failed(error, exits.UNAVAILABLE)
    return 0


def _parser() -> argparse.ArgumentParser:
    parser = exits.Parser(prog="pomeloward-plan", description=__doc__)
    commands = parser.add_subparsers(required=True, dest="command")
    check = commands.add_parser(
        "check", help="check a settings file (.toml) or a configuration"
    )
    check.add_argument("file", type=pathlib.Path)
    check.set_defaults(run=_check)
    sheet = commands.add_parser(
        "sheet", help="turn a morning sheet into the changes to publish"
    )
    sheet.add_argument("sheet", type=pathlib.Path)
    hosts.add_source_arguments(
        sheet.add_mutually_exclusive_group(required=True)
    )
    sheet.add_argument(
        "--out", type=pathlib.Path, help="directory for the changes"
    )
    sheet.add_argument(
        "--now", type=float, default=time.time(), help="seconds of the epoch"
    )
    sheet.set_defaults(run=_sheet)
    diff = commands.add_parser("diff", help="compare with a file")
    diff.add_argument("file", type=pathlib.Path)
    hosts.add_source_arguments(
        diff.add_mutually_exclusive_group(required=True)
    )
    diff.set_defaults(run=_diff)
    reference = commands.add_parser(
        "reference", help="print the reference of all settings"
    )
    reference.set_defaults(run=_reference)
    return parser


def _reference(parsed: argparse.Namespace) -> None:
    print(settings.render_reference(), end="")


def _check(parsed: argparse.Namespace) -> None:
    if parsed.file.suffix == ".toml":
        settings.load(parsed.file)
        print(f"{parsed.file}: settings are valid")
        return
    found = catalog.parse_file(parsed.file.read_bytes())
    print(f"{parsed.file}: version {found.version} is valid")
    for of_kind in catalog.Kind:
        print(f"  {of_kind.value}: {found.count(of_kind)}")


def _sheet(parsed: argparse.Namespace) -> None:
    in_force = hosts.configuration(parsed)
    text = _text(parsed.sheet)
    rows = catalog.read_sheet(text, parsed.now)
    planned = catalog.SheetPlan(in_force, rows, parsed.now).changes()
    for each in planned:
        print(f"{catalog.when(each.at_s)} version {each.change.version}")
        for line in each.differences:
            print(f"  {line}")
    if not planned:
        print("the configuration in force has all of this already")
    if parsed.out is not None:
        _write(parsed.out, planned)


def _diff(parsed: argparse.Namespace) -> None:
    wanted = catalog.parse_file(parsed.file.read_bytes())
    for line in catalog.differences_between(
        hosts.configuration(parsed), wanted
    ):
        print(line)


def _text(file: pathlib.Path) -> str:
    try:
        return file.read_text(encoding="utf-8-sig")
    except UnicodeDecodeError as error:
        line = error.object[: error.start].count(b"\n") + 1
        raise model.SheetError(f"line {line}, column 1: not UTF-8") from error


def _write(
    directory: pathlib.Path, planned: list[catalog.PlannedChange]
) -> None:
    """Write each change as the platform takes it, and their times."""
    directory.mkdir(parents=True, exist_ok=True)
    schedule = []
    for each in planned:
        name = f"change-{each.change.version}.json"
        (directory / name).write_bytes(catalog.encode_change(each.change))
        schedule.append({"at": catalog.when(each.at_s), "file": name})
    plan = msgspec.json.format(msgspec.json.encode(schedule))
    (directory / "schedule.json").write_bytes(plan)


def _failed(error: Exception, status: int) -> int:
    print(f"pomeloward-plan: {error}", file=sys.stderr)
    return status


if __name__ == "__main__":
    sys.exit(main())
