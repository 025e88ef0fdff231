"""Tests of the groups that the suite runs in."""

import unittest

from tests import suites

CROWD = "tests.crowds.test_heads.HeadTest"
OTHERS = ["tests.entry.test_front.FrontTest", "tests.integration.test_a.ATest"]


class GroupsTest(unittest.TestCase):
    """Tests of crowds run one at a time, after all others."""

    def test_crowds_are_left_out_of_the_groups_at_once(self) -> None:
        grouped = sum(suites.get_groups([CROWD, *OTHERS]), [])
        self.assertEqual(sorted(grouped), OTHERS)

    def test_each_crowd_has_a_group_of_its_own(self) -> None:
        self.assertEqual(suites.get_lone_groups([CROWD, *OTHERS]), [[CROWD]])
