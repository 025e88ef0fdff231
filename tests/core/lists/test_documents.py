"""Tests of flat documents, deltas and diffs."""

import unittest

from hickoryreach.lists import documents
from standins import samples
from tests.core.lists import fakes


class DocumentsTest(unittest.TestCase):
    """Flattening is reversible, and a delta yields the newer document."""

    def test_flattening_is_reversible(self):
        lists = {
            "plans": samples.build_plans(),
            "allowances": samples.build_allowances(),
        }
        for name, document in lists.items():
            flat = documents.flatten(document)
            restored = documents.unflatten(name, flat)
            self.assertEqual(documents.flatten(restored), flat)
            self.assertCountEqual(
                getattr(restored, name), getattr(document, name)
            )

    def test_applied_delta_yields_the_newer_document(self):
        before = documents.flatten(fakes.build_plans("north", "south"))
        after = documents.flatten(fakes.build_plans("north", "west"))
        delta = documents.compute_delta(before, after)
        self.assertEqual(documents.apply_delta(before, delta), after)

    def test_diff_contains_paths_and_masks_hashes(self):
        before = documents.flatten(fakes.build_plans("north"))
        after = documents.flatten(fakes.build_plans("west"))
        lines = documents.describe_delta(
            before, documents.compute_delta(before, after)
        )
        self.assertEqual(
            lines,
            [
                "- plans/north/keys/north-1/hash: (hash)",
                "- plans/north/plan: basic",
                "+ plans/west/keys/west-1/hash: (hash)",
                "+ plans/west/plan: basic",
            ],
        )


if __name__ == "__main__":
    unittest.main()
