"""``pomeloward-edge``: runs one host of the edge fleet.

The settings file is named by ``--settings`` or by an environment variable.
Exit statuses are 0 after a graceful stop, 64 for wrong usage, 69 when an
address cannot be used, and 78 for wrong settings.
"""

import os
import pathlib
import sys

import eliot

from pomeloward import edge
from pomeloward import model
from pomeloward import observability
from pomeloward import platform
from pomeloward.commands import exitstatus
from pomeloward.commands import hostprocess

_DEFAULT_METRICS_PORT = 9_464


def main(arguments: list[str] | None = None) -> int:
    """Run a host until it is asked to stop; return the exit status."""
    parser = exitstatus.SysexitsParser(
        prog="pomeloward-edge", description=__doc__
    )
    parser.add_argument(
        "--settings",
        type=pathlib.Path,
        default=os.environ.get(platform.SETTINGS_PATH_VARIABLE),
    )
    parser.add_argument(
        "--metrics-port", type=int, default=_DEFAULT_METRICS_PORT
    )
    parser.add_argument("--check", action="store_true")
    parsed = parser.parse_args(arguments)
    if parsed.settings is None:
        parser.error(
            f"--settings or {platform.SETTINGS_PATH_VARIABLE} is required"
        )
    settings_path = pathlib.Path(parsed.settings)
    settings_file = platform.SettingsFile(settings_path)
    try:
        host_settings = settings_file.load()
    except model.SettingsError as error:
        print(f"pomeloward-edge: {error}", file=sys.stderr)
        return exitstatus.SETTINGS_ERROR
    if parsed.check:
        print(
            f"{settings_path}: "
            f"settings are valid for host {host_settings.host}"
        )
        return 0
    eliot.to_file(observability.NonblockingLogWriter(sys.stdout.fileno()))
    server = edge.EdgeServer(
        settings_file.load,
        platform.HttpStoreClient(host_settings.store),
        platform.HTTP_CONVENTIONS,
        platform.AddressLookupFormat(),
        parsed.metrics_port,
    )
    return hostprocess.run_until_stopped(
        server.run,
        lambda reason: eliot.log_message(message_type="failed", reason=reason),
    )


if __name__ == "__main__":
    sys.exit(main())
