"""Tests of decoding target entries and configurations."""

import json

from hypothesis import given
from hypothesis import strategies as st
import msgspec
import pytest

from pomeloward import model
from pomeloward import policy
from pomeloward.platform import configuration
from pomeloward.platform import targetentry
from tests.platform import fleet

_TARGET_ID = model.TargetId("i-1")
_TARGET_ENTRY = {
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
_JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.floats() | st.integers() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from([*_TARGET_ENTRY, "routes", "columns", "rows"]),
            inner,
            max_size=4,
        )
    ),
    max_leaves=12,
)


def _json_bytes(value):
    return json.dumps(value).encode()


def test_target_entry_is_decoded():
    change = targetentry.decode_target_entry(
        _TARGET_ID, _json_bytes({**_TARGET_ENTRY, "sequence": 4}), 9
    )
    assert (change.revision, change.last_report) == (9, (17, 4))
    target = change.target
    assert (target.service, target.zone, target.slots) == ("orders", "a", 3)
    assert target.is_cold and not target.is_leaving
    assert target.started_ms == 17
    assert target.url == "http://10.0.0.1:80"


@pytest.mark.parametrize("field", ["service", "address", "zone", "state"])
def test_target_entry_without_a_required_field_is_rejected(field):
    incomplete_entry = {
        name: value for name, value in _TARGET_ENTRY.items() if name != field
    }
    with pytest.raises(model.ConfigurationError):
        targetentry.decode_target_entry(
            _TARGET_ID, _json_bytes(incomplete_entry), 1
        )


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("max-concurrency", 10**30),
        ("max-concurrency", 10**9),
        ("sequence", 2**63),
        ("sequence", -1),
        ("born", 2**63),
        ("address", "10.0.0.1:65536"),
        ("address", "10.0.0.1:0"),
        ("address", "10.0.0.1:" + "9" * 5_000),
        ("address", "10.0.0.1:\u0662"),
        ("address", "somewhere:80"),
        ("service", "s" * 10_000),
        ("zone", "z" * 10_000),
    ],
)
def test_target_entry_with_a_value_out_of_range_is_rejected(field, value):
    """Later steps failed at numbers, ports and texts that were let in."""
    with pytest.raises(model.ConfigurationError) as raised:
        targetentry.decode_target_entry(
            _TARGET_ID, _json_bytes({**_TARGET_ENTRY, field: value}), 1
        )
    assert len(str(raised.value)) < 300


@pytest.mark.parametrize(
    "target_id", ["", "i 1", "i\r\n1", "\u0662", "i" * 201]
)
def test_target_id_that_no_header_can_hold_is_rejected(target_id):
    """Each request to such a target failed with an internal error."""
    with pytest.raises(model.ConfigurationError):
        targetentry.decode_target_entry(
            model.TargetId(target_id), _json_bytes(_TARGET_ENTRY), 1
        )


@given(_JSON_VALUES | st.binary())
def test_arbitrary_payloads_raise_only_configuration_errors(value):
    payload = value if isinstance(value, bytes) else _json_bytes(value)
    for decode in (
        lambda: targetentry.decode_target_entry(_TARGET_ID, payload, 1),
        lambda: configuration.decode_configuration(payload),
    ):
        try:
            decode()
        except model.ConfigurationError as error:
            assert str(error)


def test_configuration_is_decoded():
    decoded_policy = configuration.decode_configuration(
        _json_bytes(fleet.configuration(12))
    )
    assert decoded_policy.version == 12
    safe, order, public = decoded_policy.routes
    assert safe.is_idempotent and not order.is_idempotent
    assert public.is_public and not safe.is_public
    assert (order.timeout_ms, order.aim_ms) == (1_000.0, 300.0)
    assert decoded_policy.teams[0].digests == (
        policy.hash_api_key(fleet.KEY.encode()),
    )
    assert decoded_policy.services[0].cold_per_s == 11.0
    assert decoded_policy.limits.header_bytes == 16_384


@pytest.mark.parametrize(
    "text", ["r", "r-1", "r1.0", "r\u0662", "12", "r" + "1" * 4_001]
)
def test_version_that_is_not_a_number_is_rejected(text):
    """A text was let in, or failed in the conversion to an integer."""
    with pytest.raises(model.ConfigurationError) as raised:
        configuration.decode_configuration(
            _json_bytes({**fleet.configuration(3), "version": text})
        )
    assert len(str(raised.value)) < 200


_LARGE = int("9" * 4_000)


@pytest.mark.parametrize(
    "fields",
    [
        {"limits": {"max-body-bytes": _LARGE, "idle-timeout-s": 1e308}},
        {"limits": {"max-header-bytes": -5, "header-timeout-s": -1e308}},
        {
            "services": [
                {
                    "name": "orders",
                    "max-connections": _LARGE,
                    "warmup-per-s": 1e308,
                }
            ]
        },
        {
            "tenants": [
                {
                    "name": "huka",
                    "priority": _LARGE,
                    "rate-per-s": 1e308,
                    "burst": 1e308,
                }
            ]
        },
        {
            "routes": [
                {
                    "name": "safe",
                    "host": "api.example",
                    "prefix": "/",
                    "kind": "idempotent",
                    "timeout-s": 1e308,
                    "target-latency-s": 1e308,
                    "priority": -_LARGE,
                    "max-attempts": _LARGE,
                    "weighted-backends": [
                        {"service": "orders", "weight": 1e308},
                        {"service": "other", "weight": 1e308},
                    ],
                }
            ]
        },
    ],
)
def test_large_numbers_of_a_configuration_become_bounds(fields):
    """Sums of them were infinite, and integers didn't fit in messages."""
    decoded_policy = configuration.decode_configuration(
        _json_bytes({**fleet.configuration(3), **fields})
    )
    numbers = _list_numbers(msgspec.to_builtins(decoded_policy))
    assert all(abs(number) < 2**32 for number in numbers)
    assert all(number >= 0 for number in numbers)


def _list_numbers(value):
    if isinstance(value, (list, tuple)):
        return [number for one in value for number in _list_numbers(one)]
    return [value] if isinstance(value, (int, float)) else []


def test_weighted_backends_replace_the_service():
    configuration_fields = fleet.configuration(3)
    routes = configuration_fields["routes"]
    row = list(routes["rows"][0])
    # The columns 7 and 10 are weighted-backends and service.
    row[7] = [
        {"service": "orders", "weight": 90},
        {"service": "other", "weight": 10},
    ]
    row[10] = None
    configuration_fields["routes"] = {**routes, "rows": [row]}
    (route,) = configuration.decode_configuration(
        _json_bytes(configuration_fields)
    ).routes
    assert [(split.service, split.weight) for split in route.splits] == [
        ("orders", 90.0),
        ("other", 10.0),
    ]


@pytest.mark.parametrize(
    "invalid_fields",
    [
        {"version": "12"},
        {"version": 12},
        {"routes": {"columns": ["name"], "rows": [["r"]]}},
        {"routes": {"columns": ["name"], "rows": 7}},
        {"limits": {"max-header-bytes": "many"}},
    ],
)
def test_invalid_configuration_is_rejected_as_a_whole(invalid_fields):
    invalid = {**fleet.configuration(3), **invalid_fields}
    with pytest.raises(model.ConfigurationError):
        configuration.decode_configuration(_json_bytes(invalid))
