"""Links between the pages lead to files that exist."""

import pathlib
import re
import unittest

ROOT = pathlib.Path(__file__).parents[1]
PAGES = (ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md")))
LINK = re.compile(r"\]\((?!https?:|mailto:|#)([^)#\s]+)[^)]*\)")


def find_targets(page: pathlib.Path) -> list[pathlib.Path]:
    """Returns what the relative links of a page lead to."""
    targets = LINK.findall(page.read_text(encoding="utf-8"))
    return [(page.parent / target).resolve() for target in targets]


class LinksTest(unittest.TestCase):
    """No link of README.md or docs leads nowhere."""

    def test_every_relative_link_leads_to_a_file(self):
        for page in PAGES:
            for target in find_targets(page):
                with self.subTest(page=str(page.relative_to(ROOT))):
                    self.assertTrue(target.is_file(), target)

    def test_every_page_is_linked_from_another(self):
        reached = {
            target
            for page in PAGES
            for target in find_targets(page)
            if target != page
        }
        for page in PAGES[1:]:
            with self.subTest(page=str(page.relative_to(ROOT))):
                self.assertIn(page, reached)


if __name__ == "__main__":
    unittest.main()
