"""``pomeloward-edge``: runs one host on the users' platform.

The settings file is named by an environment variable or by ``--settings``.
Exit statuses are 0 after a graceful stop, 69 when an address cannot be
used, and 78 for wrong settings.
"""

import os
import pathlib
import sys

import eliot

from pomeloward import edge
from pomeloward import model
from pomeloward import observability
from pomeloward import platform
from pomeloward import settings
from pomeloward.commands import exits
from pomeloward.commands import running

_METRICS_PORT = 9_464


def main(arguments: list[str] | None = None) -> int:
    """Run a host until it is asked to stop."""
    parser = exits.Parser(prog="pomeloward-edge", description=__doc__)
    parser.add_argument(
        "--settings",
        type=pathlib.Path,
        default=os.environ.get(platform.SETTINGS_PATH_VARIABLE),
    )
    parser.add_argument("--metrics-port", type=int, default=_METRICS_PORT)
    parser.add_argument("--check", action="store_true")
    parsed = parser.parse_args(arguments)
    if parsed.settings is None:
        parser.error(
            f"--settings or {platform.SETTINGS_PATH_VARIABLE} is needed"
        )
    path = pathlib.Path(parsed.settings)

    def load() -> settings.EdgeSettings:
        return platform.load_settings(path)

    try:
        given = load()
    except model.SettingsError as error:
        print(f"pomeloward-edge: {error}", file=sys.stderr)
        return exits.SETTINGS
    if parsed.check:
        print(f"{path}: good settings of host {given.host}")
        return 0
    eliot.to_file(observability.NonblockingLogWriter(sys.stdout.fileno()))
    server = edge.EdgeServer(
        load,
        platform.HttpStoreClient(given.store),
        platform.HTTP_CONVENTIONS,
        platform.AddressLookupFormat(),
        parsed.metrics_port,
    )
    return running.run(
        server.run,
        lambda reason: eliot.log_message(message_type="failed", reason=reason),
    )


if __name__ == "__main__":
    sys.exit(main())
