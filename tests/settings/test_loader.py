"""Tests of reading settings."""

import pytest

from pomeloward import model
from pomeloward import settings

_GOOD = {
    "host_id": "h1",
    "zone": "opuwo",
    "region": "south",
    "address": "127.0.0.1",
    "caller_port": 8100,
    "configuration_file": "records.json",
}


def test_good_settings_load():
    """Guards against a checker that refuses what the page allows."""
    parsed = settings.parse_document(_GOOD | {"limits": {"body_bytes": 10}})
    assert parsed.limits.body_bytes == 10
    assert parsed.host == "h1"


@pytest.mark.parametrize(
    ("change", "field", "found"),
    [
        ({"caller_port": "x"}, "caller_port", "'x'"),
        ({"caller_port": 70_000}, "caller_port", "70000"),
        ({"limits": {"body_bytes": 0}}, "limits.body_bytes", "0"),
        ({"limits": {"boddy": 1}}, "limits.boddy", "unknown"),
        ({"colour": 1}, "colour", "unknown"),
        ({"platform_url": "http://p"}, "platform_url", "http://p"),
        ({"seeds": [{"id": "a"}]}, "seeds[0].address", "nothing"),
    ],
)
def test_error_names_field_found_and_allowed(change, field, found):
    """Guards against an error that leaves the operator searching."""
    with pytest.raises(model.SettingsError) as caught:
        settings.parse_document(_GOOD | change)
    message = str(caught.value)
    assert message.startswith(field + ":")
    assert found in message
    assert "allowed" in message
    assert "\n" not in message


def test_error_does_not_show_the_secret():
    """Guards against the fleet's secret in an error message."""
    change = {
        "platform_url": "http://p",
        "configuration_file": "",
        "fleet_secret": "tiny-secret",
    }
    with pytest.raises(model.SettingsError) as caught:
        settings.parse_document(_GOOD | change)
    assert "tiny-secret" not in str(caught.value)


def test_missing_field_is_named():
    """Guards against a missing field that is not named."""
    document = {k: v for k, v in _GOOD.items() if k != "zone"}
    with pytest.raises(model.SettingsError, match="^zone: found nothing"):
        settings.parse_document(document)
