"""Tests of an owner's authority."""

import unittest

from hickoryreach_entry.owner import grants

ALL = frozenset({"a", "b", "c", "d", "e"})


class AuthorityTest(unittest.TestCase):
    """What the right to act rests on."""

    def make(self) -> grants.Authority:
        """Returns an authority over five workers, with two grants."""
        authority = grants.Authority(grant_s=3.0)
        authority.settle(ALL, 100.0)
        authority.take_grant("a", 100.0, 100.1)
        authority.take_grant("b", 100.0, 100.1)
        return authority

    def test_a_minority_gives_none(self):
        self.assertFalse(self.make().holds(100.2))

    def test_a_majority_lapses_with_its_third_newest_grant(self):
        authority = self.make()
        authority.take_grant("c", 100.5, 100.9)
        self.assertTrue(authority.holds(102.8))
        self.assertFalse(authority.holds(102.95))

    def test_a_grant_counts_from_when_it_was_asked_for(self):
        authority = self.make()
        authority.take_grant("c", 100.0, 102.9)
        self.assertLessEqual(authority.until(102.9), 103.0)

    def test_a_kept_segment_counts_only_after_a_majority(self):
        authority = self.make()
        authority.take_proof(100.0)
        self.assertFalse(authority.holds(100.2))
        authority.take_grant("c", 100.1, 100.2)
        authority.take_proof(102.0)
        self.assertTrue(authority.holds(104.0))
        self.assertFalse(authority.holds(105.0))

    def test_a_set_under_way_needs_majorities_of_both(self):
        authority = self.make()
        authority.take_grant("c", 100.0, 100.1)
        authority.propose(frozenset({"c", "x", "y", "z"}))
        self.assertFalse(authority.holds(100.2))
        authority.take_grant("x", 100.1, 100.2)
        authority.take_grant("y", 100.1, 100.2)
        self.assertTrue(authority.holds(100.3))

    def test_a_worker_outside_the_journaled_set_is_not_admitted(self):
        authority = self.make()
        authority.take_grant("c", 100.0, 100.1)
        authority.propose(ALL | {"x"})
        authority.take_grant("d", 100.0, 100.1)
        self.assertTrue(authority.admits("a", 100.2))
        self.assertFalse(authority.admits("x", 100.2))
        authority.settle(ALL | {"x"}, 100.2)
        self.assertTrue(authority.admits("x", 100.2))


if __name__ == "__main__":
    unittest.main()
