"""Tests of reading the settings file that the platform writes."""

import msgspec
import pytest

from pomeloward import model
from pomeloward import platform
from pomeloward.commands import edge

_VALID_SETTINGS = """
node = "edge-a-1"
zone = "a"
region = "r"
seeds = ["10.0.0.5:84", "10.0.0.6:84"]
bootstrap = true
unknown-to-us = 7
bounds = ["retry-budget-ratio=0.3", "grace-s=4", "strict-revoke=false"]
[zones]
a = "r"
b = "r"
[listen]
front = "10.0.0.5:81"
ready = "10.0.0.5:82"
control = "10.0.0.5:83"
directory = "10.0.0.5:85"
[limits]
cpu-share = 0.5
cores = 3
max-fds = 4100
bandwidth-mbps = 10.0
[platform]
address = "10.9.0.1:80"
"""


def _load_text(tmp_path, text):
    path = tmp_path / "node.toml"
    path.write_text(text)
    return platform.load_settings(path)


def test_settings_file_is_read(tmp_path):
    loaded = _load_text(tmp_path, _VALID_SETTINGS)
    assert loaded.host == "10.0.0.5:83"
    assert loaded.zones == ("a", "b")
    assert (loaded.cores, loaded.link_mbps) == (1.5, 10.0)
    assert loaded.descriptors == 3_900
    assert loaded.bounds.retry_ratio == 0.3
    assert loaded.bounds.termination_grace_ms == 4_000.0
    assert loaded.bounds.max_address_ttl_ms == 5_000.0


@pytest.mark.parametrize(
    ("old", "new", "named_in_error"),
    [
        ('zone = "a"\n', "", "zone"),
        ('front = "10.0.0.5:81"', "front = 7", "front"),
        ('front = "10.0.0.5:81"', 'front = "nowhere"', "listen.front"),
        ("grace-s=4", "grace-s=soon", "grace-s"),
        ("[platform]", "[platfrom]", "platform"),
        ("zone", "= zone", "line"),
    ],
)
def test_error_on_invalid_settings_names_the_field(
    tmp_path, old, new, named_in_error
):
    with pytest.raises(model.SettingsError, match=named_in_error):
        _load_text(tmp_path, _VALID_SETTINGS.replace(old, new, 1))


def test_missing_file_raises_a_settings_error(tmp_path):
    with pytest.raises(model.SettingsError, match="cannot be read"):
        platform.load_settings(tmp_path / "none.toml")


def test_check_option_validates_the_settings_file(tmp_path, capsys):
    path = tmp_path / "node.toml"
    path.write_text(_VALID_SETTINGS)
    assert edge.main(["--settings", str(path), "--check"]) == 0
    path.write_text("node = 1")
    assert edge.main(["--settings", str(path), "--check"]) == 78
    assert "node" in capsys.readouterr().err


def test_unchanged_file_is_parsed_once(tmp_path, monkeypatch):
    """Hosts poll the file; parsing it took 1 ms each second."""
    parsed_count = 0
    convert = msgspec.convert

    def counted(*arguments, **keywords):
        nonlocal parsed_count
        parsed_count += 1
        return convert(*arguments, **keywords)

    monkeypatch.setattr(msgspec, "convert", counted)
    path = tmp_path / "node.toml"
    path.write_text(_VALID_SETTINGS)
    settings_file = platform.SettingsFile(path)
    loaded = [settings_file.load() for _ in range(5)]
    assert parsed_count == 1
    path.write_text(_VALID_SETTINGS.replace("10.0.0.6:84", "10.0.0.7:84"))
    assert settings_file.load().seeds != loaded[0].seeds


def test_broken_file_raises_at_each_load_until_it_is_mended(tmp_path):
    path = tmp_path / "node.toml"
    path.write_text(_VALID_SETTINGS)
    settings_file = platform.SettingsFile(path)
    before = settings_file.load()
    path.write_text("node = ")
    for _ in range(2):
        with pytest.raises(model.SettingsError):
            settings_file.load()
    path.write_text(_VALID_SETTINGS)
    assert settings_file.load() == before
