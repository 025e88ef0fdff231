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


class LateStartTest(unittest.TestCase):
    """Starts after a cancellation was answered."""

    def find(self, at_s: float, how: str = "") -> list[str]:
        """Returns what is found of a start, with an answer at 1 s."""
        start = minions.Begun(
            what="start", task=TASK, number=1, minion_id="m", at_s=at_s, how=how
        )
        return checker.find_late_starts([start], {"0a": 1.0}, 3.0)

    def test_only_a_start_after_the_limit_is_found(self) -> None:
        self.assertEqual(self.find(3.9), [])
        self.assertIn(TASK, self.find(4.1)[0])

    def test_an_order_that_was_held_back_does_not_count(self) -> None:
        self.assertEqual(self.find(9.0, minions.LATE), [])


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


class LimitTest(unittest.TestCase):
    """What a workspace has running against its limits."""

    sizes = {"0a": checker.TaskSize(workspace="hydro", cpu=1_000, memory_mb=50)}

    def build_seen(self, what: str, index: int, at_s: float) -> minions.Begun:
        """Returns the start or the end of a task of one job."""
        return minions.Begun(
            what=what,
            task=f"0a.0.0.{index}",
            number=1,
            minion_id="m",
            at_s=at_s,
        )

    def find(self, count: int, *limits: checker.Limit) -> list[str]:
        """Returns what is wrong with some starts, one a second from 0 s on."""
        seen = [
            self.build_seen("start", index, float(index))
            for index in range(count)
        ]
        return checker.find_limit_breaches(seen, self.sizes, limits)

    def test_a_tenth_and_one_task_more_are_allowed(self) -> None:
        limit = checker.Limit(workspace="hydro", cpu=10_000)
        self.assertEqual(self.find(12, limit), [])
        (fault,) = self.find(13, limit)
        self.assertIn("cpu=13000", fault)

    def test_each_resource_is_checked(self) -> None:
        limit = checker.Limit(workspace="hydro", cpu=0, memory_mb=100)
        self.assertEqual(len(self.find(4, limit)), 1)

    def test_the_highest_limit_that_may_be_in_force_counts(self) -> None:
        low = checker.Limit(workspace="hydro", cpu=1_000, from_s=2.0)
        high = checker.Limit(workspace="hydro", cpu=4_000, until_s=3.0)
        self.assertEqual(self.find(4, low, high), [])
        self.assertEqual(len(self.find(5, low, high)), 1)

    def test_what_has_ended_counts_no_longer(self) -> None:
        limit = checker.Limit(workspace="hydro", cpu=1_000)
        seen = [
            self.build_seen(what, index, float(index))
            for index in range(5)
            for what in ("start", "end")
        ]
        self.assertEqual(
            checker.find_limit_breaches(seen, self.sizes, [limit]), []
        )


class MisplacedTest(unittest.TestCase):
    """Starts on minions that may lack the label of a job."""

    def find(self, kind: str, what: str = "start") -> list[str]:
        """Returns what is found of one start on a minion of a kind."""
        begun = minions.Begun(what, TASK, 1, "m", 0.0, "", kind)
        return checker.find_misplaced([begun], {"0a": "a"})

    def test_a_start_without_the_label_is_found(self) -> None:
        (fault,) = self.find("b")
        self.assertIn("requires a", fault)

    def test_a_start_with_it_and_an_end_are_not(self) -> None:
        self.assertEqual(self.find("a") + self.find("b", "end"), [])


class StaleTokenTest(unittest.TestCase):
    """Calls that minions refused for a token lower than one they know."""

    def find(self, since_s: float) -> list[str]:
        """Returns what is found of two calls, at 3 s and at 9 s."""
        fenced = [
            minions.Fenced(token=5, minion_id="m", at_s=at_s)
            for at_s in (3.0, 9.0)
        ]
        return checker.find_stale_tokens(fenced, since_s)

    def test_a_call_after_the_time_is_found(self) -> None:
        (found,) = self.find(since_s=5.0)
        self.assertIn("token 5", found)
        self.assertIn("used 1 times", found)

    def test_calls_before_the_time_are_allowed(self) -> None:
        self.assertEqual(self.find(since_s=9.5), [])

    def test_a_minion_records_what_it_refuses(self) -> None:
        minion = minions.Minion(minion_id="m")
        for token in (7, 6):
            minion.answer("/hold", {"fencingToken": token, "lastSeen": 0}, "")
        self.assertEqual([each.token for each in minion.fenced], [6])
