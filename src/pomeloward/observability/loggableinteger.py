"""Integers of any size in log lines."""

_MAX_JSON_INTEGER = 2**63 - 1
_MAX_DIGITS = 60


def loggable_integer(number: int) -> int | str:
    """Return an integer as a log line can hold it.

    One over 64 bits becomes text, of which a long one is shortened::

        loggable_integer(10**30)  # "1000000000000000000000000000000"
    """
    if abs(number) <= _MAX_JSON_INTEGER:
        return number
    digits = str(number)
    if len(digits) <= _MAX_DIGITS:
        return digits
    return f"{digits[:_MAX_DIGITS]}... ({len(digits)} digits)"
