"""Tests of the texts of errors in the log."""

import httpx
import pytest

from pomeloward.relay import errortext


def test_long_text_is_cut():
    """Guards against lines that grow with what a target sends."""
    text = errortext.describe(httpx.RemoteProtocolError("x" * 1_000))
    assert text == "RemoteProtocolError: " + "x" * 80


@pytest.mark.parametrize(
    "error",
    [
        httpx.LocalProtocolError("illegal header value b'of a caller'"),
        httpx.ReadError("the connection broke"),
        httpx.RemoteProtocolError(""),
    ],
)
def test_text_of_other_errors_is_left_out(error):
    """An error while sending may quote the caller's request."""
    assert errortext.describe(error) == type(error).__name__
