"""Tests of telling endpoints from other text."""

import pytest

from pomeloward import model


@pytest.mark.parametrize(
    ("text", "is_endpoint"),
    [
        ("10.0.0.1:1", True),
        ("10.0.0.1:65535", True),
        ("10.0.0.1:65536", False),
        ("10.0.0.1:0", False),
        ("10.0.0.1:" + "9" * 5_000, False),
        ("10.0.0.1:\u0662", False),
        ("10.0.0.1:", False),
        ("10.0.0.1", False),
        ("host:80", False),
        (":80", False),
        ("", False),
    ],
)
def test_only_an_address_with_a_port_that_exists_is_an_endpoint(
    text, is_endpoint
):
    """A connection to a port out of range raised an unforeseen error."""
    assert model.is_endpoint(text) is is_endpoint
