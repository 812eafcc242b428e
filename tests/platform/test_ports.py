"""Tests of the ports of stand-ins and hosts."""

from tests.platform import serving


def test_no_port_is_drawn_twice():
    """Two listeners of one world drew the same port, and a host ended."""
    ports = [serving.steady_port() for _ in range(500)]
    assert len(set(ports)) == len(ports)
