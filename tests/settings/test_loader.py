"""Tests of the validation of settings."""

import pytest

from pomeloward import model
from pomeloward import settings

_VALID_DOCUMENT = {
    "host_id": "h1",
    "zone": "opuwo",
    "region": "south",
    "address": "127.0.0.1",
    "caller_port": 8100,
    "configuration_file": "records.json",
}


def test_valid_settings_are_accepted():
    """Guards against rejecting settings that the reference allows."""
    parsed = settings.parse_document(
        _VALID_DOCUMENT | {"limits": {"body_bytes": 10}}
    )
    assert parsed.limits.body_bytes == 10
    assert parsed.host == "h1"


@pytest.mark.parametrize(
    ("changed_fields", "field_path", "found_text"),
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
def test_error_names_field_and_found_and_allowed_values(
    changed_fields, field_path, found_text
):
    """Guards against an error message without the field or its values."""
    with pytest.raises(model.SettingsError) as raised:
        settings.parse_document(_VALID_DOCUMENT | changed_fields)
    message = str(raised.value)
    assert message.startswith(field_path + ":")
    assert found_text in message
    assert "allowed" in message
    assert "\n" not in message


def test_error_does_not_show_the_secret():
    """Guards against the fleet secret in an error message."""
    changed_fields = {
        "platform_url": "http://p",
        "configuration_file": "",
        "fleet_secret": "tiny-secret",
    }
    with pytest.raises(model.SettingsError) as raised:
        settings.parse_document(_VALID_DOCUMENT | changed_fields)
    assert "tiny-secret" not in str(raised.value)


def test_error_names_the_missing_field():
    """Guards against an error message without the missing field."""
    document = {
        name: value
        for name, value in _VALID_DOCUMENT.items()
        if name != "zone"
    }
    with pytest.raises(model.SettingsError, match="^zone: found nothing"):
        settings.parse_document(document)
