"""The network between hosts that tests share with the matrix."""

from bench import network

FakeNetwork = network.FakeNetwork
FakePeers = network.FakePeers
