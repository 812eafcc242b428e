"""Tests of choosing ports for the stand-ins and hosts of a test."""

from tests.platform import serving


def test_no_port_is_chosen_twice():
    """Guards against a host that ends because its port is taken.

    Two listeners of one test had chosen the same port.
    """
    ports = [serving.steady_port() for _ in range(500)]
    assert len(set(ports)) == len(ports)
