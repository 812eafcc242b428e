"""Reads the log lines of hosts in the process of a test."""

import contextlib

import eliot


@contextlib.contextmanager
def captured_lines():
    """Yield a list that receives the log lines of all hosts."""
    lines = []
    eliot.add_destinations(lines.append)
    try:
        yield lines
    finally:
        eliot.remove_destination(lines.append)


def lines_of_type(lines, message_type):
    return [line for line in lines if line["message_type"] == message_type]
