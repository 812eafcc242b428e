"""Finds the error inside the groups that task groups raise."""


def unwrap_exception_group(error: Exception) -> Exception:
    """Return the one error of nested groups, or the group of several."""
    while isinstance(error, ExceptionGroup) and len(error.exceptions) == 1:
        error = error.exceptions[0]
    return error
