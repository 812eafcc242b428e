"""``pomeloward-host``: runs one entry host.

Exit statuses are 0 after a graceful stop, 64 for wrong usage, 69 when the
host's address cannot be used, and 78 for wrong settings.
"""

import pathlib
import sys

from pomeloward import gateway
from pomeloward import model
from pomeloward import settings
from pomeloward.commands import exitstatus
from pomeloward.commands import hostprocess


def main(arguments: list[str] | None = None) -> int:
    """Run a host until it is asked to stop; return the exit status."""
    parser = exitstatus.SysexitsParser(
        prog="pomeloward-host", description=__doc__
    )
    parser.add_argument("--settings", required=True, type=pathlib.Path)
    parsed = parser.parse_args(arguments)
    try:
        host_settings = settings.load(parsed.settings)
        host = gateway.Gateway(host_settings)
    except model.SettingsError as error:
        print(f"pomeloward-host: {error}", file=sys.stderr)
        return exitstatus.SETTINGS_ERROR
    return hostprocess.run_until_stopped(
        host.run,
        lambda reason: print(f"pomeloward-host: {reason}", file=sys.stderr),
    )


if __name__ == "__main__":
    sys.exit(main())
