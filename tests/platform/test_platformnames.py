"""Tests that the platform's names stay in the adapter."""

import pathlib
import re

import pomeloward

_SOURCES = pathlib.Path(pomeloward.__file__).parent
_WORDS = re.compile(
    r"x-(upstream-signature|target-instance|not-executed|tenant|timeout-ms)"
    r"|kv-(range|watch|key)|op/(config|evacuate)|warmup-left|api-keys"
    r"|ttl-s|/resolve\b|POMELOWARD_CONFIG",
    re.IGNORECASE,
)


def test_only_the_adapter_knows_the_platforms_names():
    found = [
        f"{path.relative_to(_SOURCES)}: {match.group()}"
        for path in sorted(_SOURCES.rglob("*.py"))
        if path.relative_to(_SOURCES).parts[0] != "platform"
        for match in _WORDS.finditer(path.read_text())
    ]
    assert not found
