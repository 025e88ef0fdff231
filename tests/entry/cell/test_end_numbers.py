"""Tests of which numbered ends may be acknowledged."""

import unittest

from hickoryreach.platform import minions
from hickoryreach.structure import steps
from hickoryreach_entry.cell import end_numbers


def build_ends(*numbers: int) -> tuple[minions.TaskEnd, ...]:
    """Returns ends with these numbers."""
    return tuple(
        minions.TaskEnd(
            number=number,
            key=steps.TaskKey(job_id="j", repeat=0, step=0, index=number),
            run=1,
            kind=minions.EndKind.DONE,
            checkpoint="",
        )
        for number in numbers
    )


class EndNumbersTest(unittest.TestCase):
    """Ends of one incarnation after another."""

    def setUp(self) -> None:
        """Knows no end."""
        self.ends = end_numbers.EndNumbers(minion_id="i-1")

    def test_each_end_is_taken_once(self) -> None:
        self.ends.take(build_ends(1, 2))
        taken = self.ends.take(build_ends(1, 2, 3))
        self.assertEqual([end.number for end in taken], [3])

    def test_ends_up_to_the_first_unsettled_one_are_acknowledged(self) -> None:
        self.ends.take(build_ends(1, 2, 3))
        self.ends.settle(1)
        self.ends.settle(3)
        self.assertEqual(self.ends.acknowledged, 1)
        self.ends.settle(2)
        self.assertEqual(self.ends.acknowledged, 3)
        self.assertTrue(self.ends.all_settled.is_set())

    def test_another_incarnation_has_nothing_acknowledged(self) -> None:
        self.ends.take(build_ends(1))
        self.ends.settle(1)
        self.ends.begin(from_first=True)
        self.assertEqual(self.ends.acknowledged, 0)
        self.assertEqual(len(self.ends.take(build_ends(1))), 1)

    def test_numbers_that_were_never_listed_are_counted(self) -> None:
        self.assertEqual(self.ends.count_missed(build_ends(4)), 0)
        self.ends.take(build_ends(4))
        self.assertEqual(self.ends.count_missed(build_ends(4, 7)), 2)
        self.ends.begin(from_first=True)
        self.assertEqual(self.ends.count_missed(build_ends(3)), 2)
