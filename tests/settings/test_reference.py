"""Tests of the generated settings reference."""

import pathlib

from pomeloward import settings

_REFERENCE_PAGE = pathlib.Path(__file__).parents[2] / "docs" / "settings.md"


def test_page_is_the_rendered_reference():
    """Guards against a page that differs from the validated settings."""
    assert _REFERENCE_PAGE.read_text() == settings.render_reference()


def test_reference_includes_every_table():
    """Guards against settings that are missing from the reference."""
    reference = settings.render_reference()
    for name in ("host_id", "open_requests", "accept_ms", "request_ratio"):
        assert f"`{name}`" in reference
    assert "`[[seeds]]`" in reference
