"""Tests of the settings reference."""

import pathlib

from pomeloward import settings

_PAGE = pathlib.Path(__file__).parents[2] / "docs" / "settings.md"


def test_page_is_the_rendered_reference():
    """Guards against a reference that differs from the checked settings."""
    assert _PAGE.read_text() == settings.render_reference()


def test_every_table_is_described():
    """Guards against settings that the reference leaves out."""
    text = settings.render_reference()
    for name in ("host_id", "open_requests", "accept_ms", "request_ratio"):
        assert f"`{name}`" in text
    assert "`[[seeds]]`" in text
