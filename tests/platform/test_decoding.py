"""Tests of decoding what the platform publishes."""

import json

from hypothesis import given
from hypothesis import strategies as st
import pytest

from pomeloward import model
from pomeloward import policy
from pomeloward.platform import configuration
from pomeloward.platform import targetentry
from tests.platform import fleet

_TARGET = model.TargetId("i-1")
_ENTRY = {
    "service": "orders",
    "address": "10.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "max-concurrency": 3,
    "state": "ready",
    "warmup-left-s": 1.5,
    "sequence": 4,
    "born": 17,
}
_JSON = st.recursive(
    st.none() | st.booleans() | st.floats() | st.integers() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from([*_ENTRY, "routes", "columns", "rows"]),
            inner,
            max_size=4,
        )
    ),
    max_leaves=12,
)


def _encode(value):
    return json.dumps(value).encode()


def test_entry_is_decoded():
    found = targetentry.decode_target_entry(_TARGET, _encode(_ENTRY))
    assert (found.service, found.zone, found.slots) == ("orders", "a", 3)
    assert found.is_cold and not found.is_leaving
    assert found.started_ms == 17
    assert found.url == "http://10.0.0.1:80"


@pytest.mark.parametrize("field", ["service", "address", "zone", "state"])
def test_entry_without_a_field_is_rejected(field):
    given_entry = {k: v for k, v in _ENTRY.items() if k != field}
    with pytest.raises(model.ConfigurationError):
        targetentry.decode_target_entry(_TARGET, _encode(given_entry))


@given(_JSON | st.binary())
def test_only_configuration_errors_come_of_strange_values(value):
    payload = value if isinstance(value, bytes) else _encode(value)
    for decode in (
        lambda: targetentry.decode_target_entry(_TARGET, payload),
        lambda: configuration.decode_configuration(payload),
    ):
        try:
            decode()
        except model.ConfigurationError as error:
            assert str(error)


def test_configuration_is_decoded():
    found = configuration.decode_configuration(
        _encode(fleet.configuration(12))
    )
    assert found.version == 12
    safe, order, public = found.routes
    assert safe.is_idempotent and not order.is_idempotent
    assert public.is_public and not safe.is_public
    assert (order.timeout_ms, order.aim_ms) == (1_000.0, 300.0)
    assert found.teams[0].digests == (policy.key_digest(fleet.KEY.encode()),)
    assert found.services[0].cold_per_s == 11.0
    assert found.limits.header_bytes == 16_384


def test_weights_replace_the_service():
    given_configuration = fleet.configuration(3)
    routes = given_configuration["routes"]
    row = list(routes["rows"][0])
    row[7] = [
        {"service": "orders", "weight": 90},
        {"service": "other", "weight": 10},
    ]
    row[10] = None
    given_configuration["routes"] = {**routes, "rows": [row]}
    (route,) = configuration.decode_configuration(
        _encode(given_configuration)
    ).routes
    assert [(s.service, s.weight) for s in route.splits] == [
        ("orders", 90.0),
        ("other", 10.0),
    ]


@pytest.mark.parametrize(
    "change",
    [
        {"version": "12"},
        {"version": 12},
        {"routes": {"columns": ["name"], "rows": [["r"]]}},
        {"routes": {"columns": ["name"], "rows": 7}},
        {"limits": {"max-header-bytes": "many"}},
    ],
)
def test_broken_configuration_is_rejected_as_a_whole(change):
    broken = {**fleet.configuration(3), **change}
    with pytest.raises(model.ConfigurationError):
        configuration.decode_configuration(_encode(broken))
