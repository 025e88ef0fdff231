"""Tests of the checks on what the users' minions have run."""

import unittest

from standins.users import checker
from standins.users import minions

TASK = "0a.0.0.0"


def build_lives(count: int, task: str = TASK) -> list[minions.Begun]:
    """Returns starts of a task, each with the crash that it caused."""
    return [
        minions.Begun(
            what=what,
            task=task,
            number=number,
            minion_id="m",
            at_s=float(number),
            how=how,
        )
        for number in range(1, count + 1)
        for what, how in (("start", ""), ("end", minions.CRASHED))
    ]


class CrashBudgetTest(unittest.TestCase):
    """Starts of tasks that crash their minions."""

    def test_two_starts_after_three_crashes_are_allowed(self) -> None:
        found = checker.find_starts_after_crashes(build_lives(5), {"0a"})
        self.assertEqual(found, [])

    def test_a_third_start_after_three_crashes_is_found(self) -> None:
        (fault,) = checker.find_starts_after_crashes(build_lives(6), {"0a"})
        self.assertIn(TASK, fault)

    def test_other_jobs_are_not_counted(self) -> None:
        seen = build_lives(6, "0b.0.0.0")
        self.assertEqual(checker.find_starts_after_crashes(seen, {"0a"}), [])
