"""Check that generated documentation pages are up to date."""

from docs.build_capacity import PATH, build


def test_capacity_page_matches_the_reports():
    text = PATH.read_text()
    assert build(text) == text
