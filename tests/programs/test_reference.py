"""Tests that the page of settings matches the settings' types."""

import settings_reference


def test_settings_page_is_current() -> None:
    """Guards against a page that documents keys that the programs reject."""
    page = settings_reference.PAGE.read_text("utf-8")
    assert page == settings_reference.render(), "run 'make reference'"
