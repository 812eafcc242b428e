"""Tests that only the platform package has the platform's names."""

import pathlib
import re

import pomeloward

_PACKAGE_FOLDER = pathlib.Path(pomeloward.__file__).parent
_PLATFORM_NAMES = re.compile(
    r"x-(upstream-signature|target-instance|not-executed|tenant|timeout-ms)"
    r"|kv-(range|watch|key)|op/(config|evacuate)|warmup-left|api-keys"
    r"|ttl-s|/resolve\b|POMELOWARD_CONFIG",
    re.IGNORECASE,
)


def test_platform_names_are_only_in_the_platform_package():
    names_elsewhere = [
        f"{path.relative_to(_PACKAGE_FOLDER)}: {match.group()}"
        for path in sorted(_PACKAGE_FOLDER.rglob("*.py"))
        if path.relative_to(_PACKAGE_FOLDER).parts[0] != "platform"
        for match in _PLATFORM_NAMES.finditer(path.read_text())
    ]
    assert not names_elsewhere
