"""Texts of protocol errors without the bytes that they quote."""

import re

# A parser appends the line that it can't read to its text.
_QUOTE = re.compile(r":? ?(?:bytearray\()?\bb['\"]")
_STATUS_LINE = re.compile(r"HTTP/\d\.\d \d{3}")
_MAX_STATUS_LINES = 3


def describe(error: Exception) -> str:
    """Return the text of an error, with the status lines it quotes.

    Nothing else is quoted: a broken answer may repeat what its caller sent.
    For example ``illegal header line with HTTP/1.1 500``.
    """
    text = str(error)
    quote = _QUOTE.search(text)
    if quote is None:
        return text
    status_lines = _STATUS_LINE.findall(text, quote.end())
    description = text[: quote.start()]
    if not status_lines:
        return description
    return f"{description} with {', '.join(status_lines[:_MAX_STATUS_LINES])}"
