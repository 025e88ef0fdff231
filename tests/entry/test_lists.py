"""Lists in force: higher revisions only, also by way of peers."""

import unittest

from hickoryreach.lists import documents
from hickoryreach.lists import edits
from hickoryreach.lists import head_swaps
from hickoryreach.lists import heads
from hickoryreach.lists import key_edits
from hickoryreach.lists import storage
from hickoryreach_entry import lists
from tests.core.lists import fakes


class ListsTest(unittest.TestCase):
    """Two entries, one store."""

    def setUp(self):
        self.now_s = 100.0
        self.store = fakes.build_store("north", "south")
        self.first = self.make_lists()
        self.second = self.make_lists()
        self.read(self.first)
        self.read(self.second)

    def make_lists(self) -> lists.Lists:
        return lists.Lists(client=self.store, clock=lambda: self.now_s)

    def read(self, entry: lists.Lists) -> bool:
        found = self.store.watch(heads.HEAD_PREFIX).unwrap()
        taken = entry.take_snapshot(found)
        if taken:
            entry.freshness.record_read(self.now_s)
        return taken

    def exchange(self) -> None:
        for _ in range(2):
            self.second.take_heads(self.first.get_heads())
            self.first.take_heads(self.second.get_heads())

    def withdraw(self, entry: lists.Lists, workspace: str = "north"):
        return entry.edit(
            edits.Edit(
                name="plans",
                actor="ops",
                action="withdraw",
                revision=None,
                build=key_edits.withdraw_key(workspace, f"{workspace}-1"),
                min_revision=entry.revisions["plans"],
            )
        )

    def test_withdrawn_key_reaches_an_entry_cut_off_from_the_store(self):
        self.assertIsNotNone(self.second.keys.find_caller("north-key-1"))
        self.withdraw(self.first).unwrap()
        self.assertIsNone(self.first.keys.find_caller("north-key-1"))
        self.exchange()
        self.assertIsNone(self.second.keys.find_caller("north-key-1"))

    def grant(self, numbers: range) -> None:
        for number in numbers:
            self.first.edit(
                edits.Edit(
                    name="plans",
                    actor="ops",
                    action="grant",
                    revision=None,
                    build=key_edits.grant_key(
                        "north", fakes.build_key("north", number)
                    ),
                )
            ).unwrap()

    def test_peer_that_missed_a_roll_gets_the_whole_list(self):
        self.grant(range(2, 40))
        self.assertGreater(self.first.heads["plans"].base_revision, 1)
        self.exchange()
        self.assertEqual(self.second.revisions, self.first.revisions)
        self.assertEqual(self.second.flats, self.first.flats)

    def test_newer_list_that_overtakes_a_snapshot_stays(self):
        self.grant(range(2, 40))
        read = self.store.get

        def read_late(key):
            self.store.get = read
            found = read(key)
            self.grant(range(40, 41))
            self.exchange()
            return found

        self.store.get = read_late
        self.read(self.second)
        self.assertEqual(self.second.revisions["plans"], 40)
        self.assertIsNotNone(self.second.keys.find_caller("north-key-40"))

    def test_peers_in_step_send_no_documents(self):
        self.exchange()
        rows = self.first.get_heads()
        sent = [r.document for r in rows if r.name in documents.LIST_NAMES]
        self.assertEqual(sent, [b"", b""])

    def test_restored_store_is_refused_and_repaired(self):
        old = dict(self.store.values)
        self.withdraw(self.first).unwrap()
        self.store.values = old
        with self.assertLogs("hickoryreach_entry.lists", "ERROR"):
            self.assertTrue(self.read(self.first))
        self.assertIsNone(self.first.keys.find_caller("north-key-1"))
        kept = storage.read_list(self.store, "plans").unwrap()
        self.assertEqual(kept.head.revision, 2)
        self.assertEqual(kept.flat, self.first.flats["plans"])
        self.assertTrue(self.read(self.second))
        self.assertIsNone(self.second.keys.find_caller("north-key-1"))

    def test_wiped_store_is_repaired(self):
        self.store.values = {}
        self.read(self.first)
        kept = storage.read_list(self.store, "plans").unwrap()
        self.assertEqual(kept.flat, self.first.flats["plans"])

    def test_history_that_lacks_the_revision_in_force_is_refused(self):
        old = dict(self.store.values)
        self.withdraw(self.first).unwrap()
        self.store.values = old
        third = self.make_lists()
        self.read(third)
        for workspace in ("south", "north"):
            self.withdraw(third, workspace).unwrap()
        before_s = self.first.freshness.last_read_s
        self.now_s += 1
        with self.assertLogs("hickoryreach_entry.lists", "ERROR"):
            self.assertFalse(self.read(self.first))
        self.assertEqual(self.first.revisions["plans"], 2)
        self.assertEqual(self.first.freshness.last_read_s, before_s)

    def test_outage_for_all_keeps_agreeing_entries_fresh(self):
        self.exchange()
        for _ in range(20):
            self.now_s += 1
            self.exchange()
        self.assertLess(self.first.fresh_s(), 0.1)

    def test_entry_with_an_unclear_change_is_not_agreed_with(self):
        self.exchange()
        self.store.before_write = lambda: setattr(self.store, "down", True)
        retry_s = head_swaps.RETRY_S
        head_swaps.RETRY_S = 0.0
        self.addCleanup(setattr, head_swaps, "RETRY_S", retry_s)
        self.assertEqual(
            type(self.withdraw(self.first).failure()), edits.Unavailable
        )
        for _ in range(10):
            self.now_s += 1
            self.exchange()
        self.assertGreater(self.first.fresh_s(), 9)
        self.assertGreater(self.second.fresh_s(), 9)
        self.store.down = False
        self.store.values["hickoryreach/lists/plans"] = (
            self.store.values["hickoryreach/lists/plans"][0],
            99,
        )
        self.read(self.first)
        self.assertFalse(self.first.is_unsettled())

    def test_malformed_messages_change_nothing(self):
        rows = self.first.get_heads()
        for row in rows:
            row.document = b"{"
            row.revision = 9
        with self.assertLogs("hickoryreach_entry.lists"):
            self.second.take_heads(rows)
        self.assertEqual(self.second.revisions["plans"], 1)


if __name__ == "__main__":
    unittest.main()
