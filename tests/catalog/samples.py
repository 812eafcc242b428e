"""A small configuration for tests."""

import hashlib

from pomeloward import catalog


def digest(text):
    return hashlib.sha256(text.encode()).digest()


def records():
    """Return a valid configuration in the shape of Kunene."""
    return [
        catalog.Region("south", 64),
        catalog.Zone("opuwo", "south"),
        catalog.Zone("khorixas", "south"),
        catalog.Host("h1", "opuwo", "south", "127.0.0.1", 8443, 9443),
        catalog.Host("h2", "khorixas", "south", "127.0.0.2", 8443, 9443),
        catalog.Roster("south", 1, ("h1", "h2")),
        catalog.Team("crew", 10.0, 20.0),
        catalog.Team("depot", 5.0, 5.0),
        catalog.Key(digest("k1"), "crew"),
        catalog.Service("orders", 0.5, 3),
        catalog.Route("status", "orders", "/orders"),
        catalog.Route("place", "orders", "/orders", ("POST",)),
        catalog.Route("wear", "orders", "/orders/wear", teams=("depot",)),
        catalog.Target("t1", "orders", "opuwo", "west", "http://127.0.0.3:80"),
        catalog.Target("t2", "orders", "opuwo", "east", "http://127.0.0.4:80"),
        catalog.SiteShare("orders", "west", 0.25),
        catalog.SiteShare("orders", "east", 0.75),
    ]


def configuration(version=1):
    return catalog.Configuration.of_records(version, records())


def change(base, put=(), delete=(), version=None):
    deletions = tuple(catalog.Deletion(*each) for each in delete)
    return catalog.Change(base, version or base + 1, tuple(put), deletions)
