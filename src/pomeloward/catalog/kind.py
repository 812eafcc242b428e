"""Kinds of configuration records, and the identity of a record."""

import enum

from pomeloward.catalog import records


class Kind(enum.Enum):
    """The kinds of records; the value is the tag on the wire."""

    REGION = "region"
    ZONE = "zone"
    HOST = "host"
    ROSTER = "roster"
    TEAM = "team"
    KEY = "key"
    SERVICE = "service"
    ROUTE = "route"
    TARGET = "target"
    SHARE = "share"


KIND_OF_TYPE: dict[type, Kind] = {
    records.Region: Kind.REGION,
    records.Zone: Kind.ZONE,
    records.Host: Kind.HOST,
    records.Roster: Kind.ROSTER,
    records.Team: Kind.TEAM,
    records.Key: Kind.KEY,
    records.Service: Kind.SERVICE,
    records.Route: Kind.ROUTE,
    records.Target: Kind.TARGET,
    records.SiteShare: Kind.SHARE,
}


def kind_of(record: records.Record) -> Kind:
    """Return the kind of a record."""
    return KIND_OF_TYPE[type(record)]


def name_of(record: records.Record) -> str:
    """Return the identity of a record, unique within its kind.

    It is the id where the record has one, ``<region>/<number>`` for a roster,
    ``<service>/<site>`` for a share and the digest in hexadecimal for a key.
    """
    if isinstance(record, records.Key):
        return record.digest.hex()
    if isinstance(record, records.Roster):
        return f"{record.region}/{record.number}"
    if isinstance(record, records.SiteShare):
        return f"{record.service}/{record.site}"
    return record.id


def references_of(record: records.Record) -> list[tuple[Kind, str]]:
    """Return the kind and identity of every record that this one needs."""
    match record:
        case records.Key():
            return [(Kind.TEAM, record.team)]
        case records.Host():
            return [(Kind.ZONE, record.zone), (Kind.REGION, record.region)]
        case records.Zone():
            return [(Kind.REGION, record.region)]
        case records.Roster():
            hosts = [(Kind.HOST, str(host)) for host in record.hosts]
            return [(Kind.REGION, record.region), *hosts]
        case records.Route():
            teams = [(Kind.TEAM, str(team)) for team in record.teams]
            return [(Kind.SERVICE, record.service), *teams]
        case records.Target():
            return [(Kind.SERVICE, record.service), (Kind.ZONE, record.zone)]
        case records.SiteShare():
            return [(Kind.SERVICE, record.service)]
    return []
