"""Texts of errors of connections in the log."""

import httpx

_MAX_CHARACTERS = 80


def describe(error: Exception) -> str:
    """Return the name of an error, and why an answer could not be read.

    It is for the log alone: the text may name statuses that a target sent.
    That of an error while sending may quote the request and is left out.
    """
    name = type(error).__name__
    text = str(error)[:_MAX_CHARACTERS]
    if not isinstance(error, httpx.RemoteProtocolError) or not text:
        return name
    return f"{name}: {text}"
