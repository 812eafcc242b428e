"""Exit statuses of the programs, and an argument parser that uses them."""

import argparse
import sys
import typing

# The numbers of sysexits.h, which calls SETTINGS_ERROR EX_CONFIG.
USAGE_ERROR = 64
DATA_ERROR = 65
UNAVAILABLE = 69
SETTINGS_ERROR = 78


class SysexitsParser(argparse.ArgumentParser):
    """An argument parser whose errors exit with status 64 of sysexits.h."""

    def error(self, message: str) -> typing.NoReturn:
        """Print the usage and the error, and exit."""
        self.print_usage(sys.stderr)
        self.exit(USAGE_ERROR, f"{self.prog}: {message}\n")
