"""Exit statuses of the programs, and a parser that uses them."""

import argparse
import sys
import typing

# The numbers of sysexits.h.
USAGE = 64
DATA = 65
UNAVAILABLE = 69
SETTINGS = 78


class Parser(argparse.ArgumentParser):
    """A parser whose errors exit with the status of sysexits."""

    def error(self, message: str) -> typing.NoReturn:
        """Print the usage and leave."""
        self.print_usage(sys.stderr)
        self.exit(USAGE, f"{self.prog}: {message}\n")
