"""Flat documents, deltas and diffs."""

import unittest

from hickoryreach.lists import documents
from standins import samples
from tests.core.lists import fakes


class DocumentsTest(unittest.TestCase):
    """A document survives its flat form, and a delta its application."""

    def test_document_survives_the_flat_form(self):
        lists = {
            "plans": samples.build_plans(),
            "allowances": samples.build_allowances(),
        }
        for name, document in lists.items():
            flat = documents.flatten(document)
            again = documents.unflatten(name, flat)
            self.assertEqual(documents.flatten(again), flat)
            self.assertCountEqual(getattr(again, name), getattr(document, name))

    def test_delta_leads_from_one_document_to_the_other(self):
        before = documents.flatten(fakes.build_plans("north", "south"))
        after = documents.flatten(fakes.build_plans("north", "west"))
        delta = documents.compute_delta(before, after)
        self.assertEqual(documents.apply_delta(before, delta), after)

    def test_diff_names_paths_and_masks_hashes(self):
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
