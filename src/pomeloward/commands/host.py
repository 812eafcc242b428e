"""``pomeloward-host``: runs one entry host.

Exit statuses are 0 after a graceful stop, 64 for wrong usage, 69 when the
host's address cannot be used, and 78 for wrong settings.
"""

import argparse
import pathlib
import sys
import typing

import anyio

from pomeloward import gateway
from pomeloward import model
from pomeloward import settings

_EX_USAGE = 64
_EX_UNAVAILABLE = 69
_EX_CONFIG = 78


class _Parser(argparse.ArgumentParser):
    """A parser whose errors exit with the status of sysexits."""

    def error(self, message: str) -> typing.NoReturn:
        """Print the usage and leave."""
        self.print_usage(sys.stderr)
        self.exit(_EX_USAGE, f"{self.prog}: {message}\n")


def main(arguments: list[str] | None = None) -> int:
    """Run a host until it is asked to stop."""
    parser = _Parser(prog="pomeloward-host", description=__doc__)
    parser.add_argument("--settings", required=True, type=pathlib.Path)
    parsed = parser.parse_args(arguments)
    try:
        host_settings = settings.load(parsed.settings)
        host = gateway.Gateway(host_settings)
    except model.SettingsError as error:
        print(f"pomeloward-host: {error}", file=sys.stderr)
        return _EX_CONFIG
    return _run(host)


def _run(host: gateway.Gateway) -> int:
    """Run a host; return the exit status."""
    try:
        anyio.run(host.run, backend_options={"use_uvloop": True})
    except* OSError as group:
        first: BaseException = group
        while isinstance(first, BaseExceptionGroup):
            first = first.exceptions[0]
        print(f"pomeloward-host: {first}", file=sys.stderr)
        return_status = _EX_UNAVAILABLE
    else:
        return_status = 0
    return return_status


if __name__ == "__main__":
    sys.exit(main())
