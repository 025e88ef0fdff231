"""Tests of list changes under races, lost responses and compactions."""

import unittest

from returns import result

from hickoryreach.lists import compaction
from hickoryreach.lists import documents
from hickoryreach.lists import editor
from hickoryreach.lists import edits
from hickoryreach.lists import head_swaps
from hickoryreach.lists import heads
from hickoryreach.lists import key_edits
from hickoryreach.lists import plans
from hickoryreach.lists import storage
from tests.core.lists import fakes


def grant(workspace: str, number: int, **fields) -> edits.Edit:
    """Returns an edit that grants one more key."""
    return edits.Edit(
        name="plans",
        actor="ops",
        action="grant",
        revision=None,
        build=key_edits.grant_key(
            workspace, fakes.build_key(workspace, number)
        ),
        **fields,
    )


def replace(document: plans.Plans, revision: int) -> edits.Edit:
    """Returns an edit that replaces the list of plans."""
    return edits.Edit(
        name="plans",
        actor="ops",
        action="set",
        revision=revision,
        build=lambda _: result.Success(document),
    )


class EditorTest(unittest.TestCase):
    """A change and its audit record are stored by one compare-and-swap."""

    def setUp(self):
        self.store = fakes.build_store("north", "south")
        retry_s = head_swaps.RETRY_S
        head_swaps.RETRY_S = 0.0
        self.addCleanup(setattr, head_swaps, "RETRY_S", retry_s)

    def read(self) -> storage.StoredList:
        return storage.read_list(self.store, "plans").unwrap()

    def test_change_and_audit_record_are_stored_in_one_write(self):
        self.store.writes.clear()
        editor.apply_edit(self.store, grant("north", 2)).unwrap()
        self.assertEqual(self.store.writes, ["hickoryreach/lists/plans"])
        change = self.read().head.changes[-1]
        self.assertEqual((change.actor, change.action), ("ops", "grant"))
        self.assertEqual(change.revision, 2)
        self.assertEqual(list(change.put), ["plans/north/keys/north-2/hash"])

    def test_outdated_change_returns_the_newer_list(self):
        def change_concurrently():
            editor.apply_edit(self.store, grant("south", 2)).unwrap()

        self.store.before_write = change_concurrently
        edit = replace(fakes.build_plans("north"), revision=1)
        failure = editor.apply_edit(self.store, edit).failure()
        self.assertIsInstance(failure, edits.Outdated)
        self.assertEqual(failure.kept.head.revision, 2)
        self.assertIn("plans/south/keys/south-2/hash", self.read().flat)

    def test_racing_grants_are_both_accepted(self):
        def change_concurrently():
            editor.apply_edit(self.store, grant("south", 2)).unwrap()

        self.store.before_write = change_concurrently
        editor.apply_edit(self.store, grant("north", 2)).unwrap()
        kept = self.read()
        self.assertEqual(kept.head.revision, 3)
        self.assertIn("plans/south/keys/south-2/hash", kept.flat)
        self.assertIn("plans/north/keys/north-2/hash", kept.flat)

    def test_lost_response_is_resolved_by_the_token(self):
        self.store.lost_responses = 1
        accepted = editor.apply_edit(self.store, grant("north", 2)).unwrap()
        self.assertEqual(accepted.head.revision, 2)
        self.assertEqual(self.read().head.revision, 2)

    def test_lost_response_is_resolved_after_the_change_left_the_head(self):
        def change_concurrently():
            self.store.lost_responses = 0
            for number in range(3, 40):
                editor.apply_edit(self.store, grant("south", number)).unwrap()

        original_put_if = self.store.put_if

        def put_and_lose_response(key, data, *, index):
            written = original_put_if(key, data, index=index)
            if key == "hickoryreach/lists/plans":
                self.store.put_if = original_put_if
                change_concurrently()
                return self.store.fail()
            return written

        self.store.put_if = put_and_lose_response
        accepted = editor.apply_edit(self.store, grant("north", 2)).unwrap()
        self.assertEqual(accepted.head.revision, 2)
        self.assertGreater(self.read().head.base_revision, 2)

    def test_change_on_the_newest_revision_survives_a_compaction(self):
        kept = self.read()
        self.store.before_write = lambda: compaction.compact_list(
            self.store, "plans", kept.head, kept.flat
        )
        edit = replace(fakes.build_plans("north"), revision=1)
        accepted = editor.apply_edit(self.store, edit).unwrap()
        self.assertEqual(accepted.head.revision, 2)
        self.assertEqual(self.read().head.base_revision, 1)

    def test_lost_response_is_unclear_after_the_store_was_restored(self):
        older = dict(self.store.values)
        editor.apply_edit(self.store, grant("south", 2)).unwrap()
        newest = dict(self.store.values)
        for backup in (older, newest):
            self.store.values = dict(newest)
            self.store.put_if = self.build_restoring_put(backup)
            failure = editor.apply_edit(self.store, grant("north", 2)).failure()
            self.assertIsInstance(failure, edits.Unavailable)
            self.assertNotEqual(failure.token, "")

    def build_restoring_put(self, backup):
        original_put_if = type(self.store).put_if

        def put_and_restore(key, data, *, index):
            original_put_if(self.store, key, data, index=index).unwrap()
            self.store.index += 1
            self.store.values = {
                kept: (value, self.store.index)
                for kept, (value, _) in backup.items()
            }
            del self.store.put_if
            return self.store.fail()

        return put_and_restore

    def test_lost_response_is_unclear_without_the_segment(self):
        original_put_if = self.store.put_if

        def put_and_lose_response(key, data, *, index):
            written = original_put_if(key, data, index=index)
            if key != "hickoryreach/lists/plans":
                return written
            self.store.put_if = original_put_if
            for number in range(3, 40):
                editor.apply_edit(self.store, grant("south", number)).unwrap()
            for gone in [
                k for k in self.store.values if heads.SEGMENT_PREFIX in k
            ]:
                del self.store.values[gone]
            return self.store.fail()

        self.store.put_if = put_and_lose_response
        failure = editor.apply_edit(self.store, grant("north", 2)).failure()
        self.assertIsInstance(failure, edits.Unavailable)
        self.assertNotEqual(failure.token, "")

    def test_change_is_unclear_if_the_store_stays_down(self):
        self.store.before_write = lambda: setattr(self.store, "down", True)
        failure = editor.apply_edit(self.store, grant("north", 2)).failure()
        self.assertIsInstance(failure, edits.Unavailable)
        self.assertNotEqual(failure.token, "")

    def test_change_is_refused_on_a_store_with_an_older_list(self):
        failure = editor.apply_edit(
            self.store, grant("north", 2, min_revision=7)
        ).failure()
        self.assertIsInstance(failure, edits.Unavailable)
        self.assertEqual(failure.token, "")
        self.assertEqual(self.read().head.revision, 1)

    def test_compaction_keeps_head_small_and_audit_trail_complete(self):
        for number in range(2, 100):
            editor.apply_edit(self.store, grant("north", number)).unwrap()
        kept = self.read()
        self.assertEqual(kept.head.revision, 99)
        self.assertLessEqual(len(heads.pack(kept.head)), heads.HEAD_LIMIT_BYTES)
        found = [
            head_swaps.find_change(self.store, "plans", kept.head, r).unwrap()
            for r in range(1, 100)
        ]
        self.assertEqual([c.revision for c in found], list(range(1, 100)))
        snapshots = [k for k in self.store.values if heads.SNAPSHOT_PREFIX in k]
        self.assertEqual(len(snapshots), 1)

    def test_large_change_leaves_a_small_head(self):
        names = [f"w{number}" for number in range(100)]
        edit = replace(fakes.build_plans(*names), revision=1)
        accepted = editor.apply_edit(self.store, edit).unwrap()
        kept = self.read()
        self.assertEqual((kept.head.revision, kept.head.changes), (2, ()))
        self.assertEqual(kept.flat, accepted.flat)
        found = head_swaps.find_change(
            self.store, "plans", kept.head, 2
        ).unwrap()
        self.assertEqual(found, accepted.head.changes[-1])
        editor.apply_edit(self.store, grant("w7", 2)).unwrap()
        self.assertEqual(self.read().head.revision, 3)
        snapshots = [k for k in self.store.values if heads.SNAPSHOT_PREFIX in k]
        self.assertEqual(snapshots, ["hickoryreach/list-snapshots/plans/2"])

    def test_last_operator_cannot_be_removed(self):
        document = fakes.build_plans("north").model_copy(
            update={"operators": ()}
        )
        failure = editor.apply_edit(
            self.store, replace(document, revision=1)
        ).failure()
        self.assertEqual(
            failure.faults, ("operators: at least one operator must stay",)
        )

    def test_withdrawing_a_key_is_idempotent(self):
        edit = edits.Edit(
            name="plans",
            actor="ops",
            action="withdraw",
            revision=None,
            build=key_edits.withdraw_key("north", "north-1"),
        )
        for _ in range(2):
            accepted = editor.apply_edit(self.store, edit).unwrap()
            self.assertEqual(accepted.head.revision, 2)
        document = documents.unflatten("plans", self.read().flat)
        self.assertEqual(document.plans[0].keys, ())


if __name__ == "__main__":
    unittest.main()
