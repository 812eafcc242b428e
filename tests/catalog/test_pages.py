"""Tests of snapshots as shards for the platform and pages for peers."""

import msgspec
import pytest

from pomeloward import catalog
from pomeloward import model
from pomeloward.catalog import pages
from tests.catalog import samples


def _large():
    teams = [catalog.Team(f"team-{n}", 1.0, 1.0) for n in range(3_000)]
    contents = [*samples.records(), *teams]
    return catalog.Configuration.of_records(7, contents)


def _same(first, second):
    return set(map(repr, first.contents())) == set(
        map(repr, second.contents())
    )


def test_pages_carry_the_whole_configuration():
    """Guards against records lost between pages."""
    view = _large()
    count = pages.page_count(view)
    assert count > 2
    encoded = [pages.encode_page(view, n, count) for n in range(count)]
    found = pages.decode_pages(encoded)
    assert _same(view, catalog.Configuration.of_records(7, found))


def test_shards_stay_under_the_limit():
    """Guards against a value that the platform does not take."""
    view = _large()
    shards = catalog.encode_shards(view, 20_000)
    assert len(shards) > 2
    assert max(map(len, shards)) <= 20_000
    found = catalog.decode_shards(shards)
    assert _same(view, catalog.Configuration.of_records(7, found))


def test_record_of_another_software_version_is_read():
    """Guards against an upgrade that cuts hosts off from their peers."""
    older = msgspec.msgpack.encode({"service": [["orders"]]})
    newer = msgspec.msgpack.encode(
        {"service": [["booking", 0.25, 2, 360, "a later field"]]}
    )
    assert list(pages.decode_pages([older, newer])) == [
        catalog.Service("orders"),
        catalog.Service("booking", 0.25, 2, 360),
    ]


@pytest.mark.parametrize(
    "content", [{"service": [[]]}, {"service": [7]}, {"none": []}, [], 1]
)
def test_malformed_page_is_rejected(content):
    """Guards against a peer that ends the host with a malformed page."""
    page = msgspec.msgpack.encode(content)
    with pytest.raises(model.ConfigurationError):
        list(pages.decode_pages([page]))


def test_record_named_twice_is_rejected():
    """Guards against a snapshot whose outcome depends on its order."""
    contents = [*samples.records(), catalog.Team("crew", 99.0, 1.0)]
    with pytest.raises(model.ConfigurationError, match="crew: named twice"):
        catalog.Configuration.of_records(7, contents)


def test_snapshot_keeps_the_rules_between_records():
    """Guards against a snapshot that skips what changes must keep."""
    contents = [
        each for each in samples.records() if getattr(each, "id", "") != "t1"
    ]
    with pytest.raises(model.ConfigurationError, match="no target"):
        catalog.Configuration.of_records(7, contents)
