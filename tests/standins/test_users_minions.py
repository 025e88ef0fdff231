"""Tests of the stand-in of the users' minions."""

import json
import unittest

import gevent

from standins.users import gangs
from standins.users import minions

WORK_MS = 100


class GangTest(unittest.TestCase):
    """Members of a gang work together and end together."""

    def setUp(self) -> None:
        """Creates two minions whose clocks stand still."""
        self.now_ms = 10.0
        self.gangs = gangs.Gangs()
        self.minions = [self.build(f"m{index}") for index in range(2)]

    def build(self, minion_id: str) -> minions.Minion:
        """Returns a minion."""
        minion = minions.Minion(minion_id=minion_id, gangs=self.gangs)
        minion.get_clock = lambda: self.now_ms
        return minion

    def start(self, index: int) -> None:
        """Starts one of two members on the minion of the same index."""
        self.minions[index].start(
            {
                "task": f"0a.0.0.{index}",
                "run": 1,
                "spec": json.dumps({"work_ms": WORK_MS, "members": 2}),
                "deadlineMs": self.now_ms + 5_000,
            }
        )

    def wait(self, elapsed_ms: float) -> list[str]:
        """Lets time pass; returns how the listed runs have ended."""
        self.now_ms += elapsed_ms
        for minion in self.minions:
            minion.advance()
        return [
            end[3] for minion in self.minions for end in minion.ends.values()
        ]

    def test_work_begins_with_the_last_member(self) -> None:
        self.start(0)
        self.assertEqual(self.wait(2 * WORK_MS), [])
        self.start(1)
        self.assertEqual(self.wait(WORK_MS / 2), [])
        self.assertEqual(self.wait(WORK_MS), ["done", "done"])

    def test_a_member_without_the_others_ends_alone(self) -> None:
        self.start(0)
        self.assertEqual(self.wait(minions.GANG_WAIT_MS), ["alone"])

    def test_the_others_are_broken_by_a_crash(self) -> None:
        self.start(0)
        self.start(1)
        first, second = self.minions
        first.on_crash = lambda minion, how: None
        first.crash(first.incarnation, "same")
        self.assertEqual(self.wait(WORK_MS), ["broken"])
        self.assertEqual(second.runs, {})


class LateStartTest(unittest.TestCase):
    """Starts that are carried out late and unanswered."""

    def order(self) -> minions.Minion:
        """Returns a minion that holds back a start."""
        minion = minions.Minion(minion_id="m0")
        minion.late_s = 0.02
        body = {
            "task": "0a.0.0.0",
            "run": 1,
            "spec": "{}",
            "deadlineMs": minion.get_clock() + 5_000,
        }
        self.assertIsNone(minion.answer("/run-start", body, "m0"))
        return minion

    def test_a_start_is_carried_out_later(self) -> None:
        minion = self.order()
        self.assertEqual(len(minion.runs), 0)
        gevent.sleep(0.05)
        self.assertEqual(len(minion.runs), 1)

    def test_the_next_life_holds_no_start_of_before(self) -> None:
        minion = self.order()
        minion.be_reborn()
        gevent.sleep(0.05)
        self.assertEqual(len(minion.runs), 0)
