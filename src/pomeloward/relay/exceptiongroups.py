"""Unwraps the exception groups that task groups raise."""


def unwrap_exception_group(error: Exception) -> Exception:
    """Return the only exception of nested groups.

    A group with several exceptions is returned as it is.
    """
    while isinstance(error, ExceptionGroup) and len(error.exceptions) == 1:
        error = error.exceptions[0]
    return error
