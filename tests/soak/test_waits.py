"""Tests of the soak's judge of jobs that wait."""

import types
import unittest
from unittest import mock

from soak import waits
from standins.users import minions

JOB = "0a"
TASK = "0a.0.0.0"
TASK_CPU = 1_000


class JudgeTest(unittest.TestCase):
    """A cell of two minions, one of each kind, and a job of one task."""

    def setUp(self) -> None:
        """Creates the judge; its clock stands still."""
        self.minions = {
            name: minions.Minion(minion_id=name, cpu=4_000)
            for name in ("m0", "m1")
        }
        self.minions["m1"].kind = "b"
        self.users = types.SimpleNamespace(
            minions=self.minions, seen=[], limit_cpu=0
        )
        self.now = 100.0
        patched = mock.patch.object(
            waits, "time", types.SimpleNamespace(monotonic=lambda: self.now)
        )
        patched.start()
        self.addCleanup(patched.stop)
        self.judge = waits.Judge(
            whole=types.SimpleNamespace(users=self.users),
            labels={},
            tasks=1,
            task_cpu=TASK_CPU,
        )

    def watch(self, seconds: float) -> list[str]:
        """Watches the job for a while; returns what was found."""
        until = self.now + seconds
        while self.now < until:
            self.judge.watch([JOB])
            self.now += 0.5
        return list(self.judge.found)

    def occupy(self, count: int) -> None:
        """Lets each minion run tasks of other jobs."""
        for name, minion in self.minions.items():
            for number in range(count):
                minion.runs[f"{name}.0.0.{number}"] = object()

    def test_a_job_that_never_runs_is_found(self) -> None:
        self.assertEqual(self.watch(waits.FINISH_S), [])
        self.assertEqual(self.watch(waits.IDLE_S), [])
        self.assertEqual(self.watch(1.0), [JOB])

    def test_a_job_that_runs_now_and_then_is_not(self) -> None:
        for _ in range(20):
            self.users.seen.append(
                minions.Begun("start", TASK, 1, "m0", self.now)
            )
            self.assertEqual(self.watch(2.0), [])

    def test_a_job_whose_tasks_are_done_is_not(self) -> None:
        self.users.seen.append(
            minions.Begun("end", TASK, 1, "m0", self.now, "done")
        )
        self.assertEqual(self.watch(60.0), [])

    def test_a_job_in_a_busy_cell_is_not(self) -> None:
        self.occupy(2)
        self.assertEqual(self.watch(60.0), [])

    def test_a_job_that_no_minion_of_its_kind_can_take_is_not(self) -> None:
        self.judge.labels[JOB] = "c"
        self.assertEqual(self.watch(60.0), [])

    def test_a_job_above_half_of_its_limit_is_not(self) -> None:
        self.occupy(1)
        self.users.limit_cpu = 4_000
        self.assertEqual(self.watch(60.0), [])
