"""The settings page and the checked types."""

import settings_reference


def test_settings_page_is_current() -> None:
    """Guards against a page that names keys that are refused."""
    page = settings_reference.PAGE.read_text("utf-8")
    assert page == settings_reference.render(), "run 'make reference'"
