"""Tests of the choice of owners."""

import collections
import unittest

from hickoryreach_entry import assignment

NAMES = [f"e{number}" for number in range(6)]


class AssignmentTest(unittest.TestCase):
    """Choice among members."""

    def choose(self, shard: int, names: list[str], loads=None, shards=18):
        """Returns the choice for one shard."""
        return assignment.choose_owner(shard, names, loads or {}, shards)

    def test_every_entry_chooses_alike(self):
        for shard in range(18):
            self.assertEqual(
                self.choose(shard, NAMES), self.choose(shard, NAMES[::-1])
            )

    def test_a_member_that_leaves_moves_only_its_own(self):
        before = {shard: self.choose(shard, NAMES) for shard in range(200)}
        after = {shard: self.choose(shard, NAMES[1:]) for shard in range(200)}
        for shard, name in before.items():
            if name != NAMES[0]:
                self.assertEqual(after[shard], name)

    def test_shards_spread_evenly(self):
        loads = collections.Counter()
        for shard in range(18):
            loads[self.choose(shard, NAMES, loads)] += 1
        self.assertEqual(set(loads.values()), {3})

    def test_nobody_is_chosen_without_members(self):
        self.assertIsNone(self.choose(0, []))

    def test_only_a_surplus_is_handed_over(self):
        self.assertIsNone(assignment.find_surplus([0, 1, 2], 6, 18))
        self.assertEqual(assignment.find_surplus([0, 1, 2, 7], 6, 18), 7)
        self.assertIsNone(assignment.find_surplus([0], 6, 1))


if __name__ == "__main__":
    unittest.main()
