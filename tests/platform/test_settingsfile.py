"""Tests of the settings that the platform writes."""

import pytest

from pomeloward import model
from pomeloward import platform
from pomeloward.commands import edge

_GOOD = """
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


def _load(tmp_path, text):
    path = tmp_path / "node.toml"
    path.write_text(text)
    return platform.load_settings(path)


def test_settings_are_read(tmp_path):
    given = _load(tmp_path, _GOOD)
    assert given.host == "10.0.0.5:83"
    assert given.zones == ("a", "b")
    assert (given.cores, given.link_mbps) == (1.5, 10.0)
    assert given.descriptors == 3_900
    assert given.bounds.retry_ratio == 0.3
    assert given.bounds.stop_ms == 4_000.0
    assert given.bounds.address_ms == 5_000.0


@pytest.mark.parametrize(
    ("old", "new", "named"),
    [
        ('zone = "a"\n', "", "zone"),
        ('front = "10.0.0.5:81"', "front = 7", "front"),
        ('front = "10.0.0.5:81"', 'front = "nowhere"', "listen.front"),
        ("grace-s=4", "grace-s=soon", "grace-s"),
        ("[platform]", "[platfrom]", "platform"),
        ("zone", "= zone", "line"),
    ],
)
def test_wrong_settings_name_the_field(tmp_path, old, new, named):
    with pytest.raises(model.SettingsError, match=named):
        _load(tmp_path, _GOOD.replace(old, new, 1))


def test_missing_file_is_named(tmp_path):
    with pytest.raises(model.SettingsError, match="cannot be read"):
        platform.load_settings(tmp_path / "none.toml")


def test_command_checks_a_settings_file(tmp_path, capsys):
    path = tmp_path / "node.toml"
    path.write_text(_GOOD)
    assert edge.main(["--settings", str(path), "--check"]) == 0
    path.write_text("node = 1")
    assert edge.main(["--settings", str(path), "--check"]) == 78
    assert "node" in capsys.readouterr().err
