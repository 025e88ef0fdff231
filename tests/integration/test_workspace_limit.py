"""A workspace at its limit while its owner is replaced."""

import time
import unittest

import gevent

from standins.users import cell
from standins.users import checker
from standins.users import platform

TASK_CPU = 1_000
LIMIT_TASKS = 12
WATCHED_S = 2.5


class TakeoverLimitTest(unittest.TestCase):
    """Runs of an earlier owner count towards the limit, seen or not."""

    def setUp(self) -> None:
        """Gives the workspace a limit and fills it with long tasks."""
        self.cell = cell.Cell(limit_cpu=LIMIT_TASKS * TASK_CPU)
        self.addCleanup(self.cell.close)
        self.cell.wait_ready()
        self.long_job = self.submit(work_ms=8_000)
        self.cell.wait_for(lambda: self.count_running() == LIMIT_TASKS)

    def submit(self, work_ms: int) -> str:
        """Submits as many tasks as the limit permits."""
        return self.cell.submit(
            next(
                each
                for each in self.cell.entries
                if each.process.poll() is None
            ),
            count=LIMIT_TASKS,
            cpu=TASK_CPU,
            payload={"work_ms": work_ms},
        )

    def count_running(self) -> int:
        """Returns how many tasks all minions run."""
        return sum(
            len(minion.runs) for minion in self.cell.users.minions.values()
        )

    def replace_owner(self) -> None:
        """Kills the owner and waits for the next one."""
        owner = self.cell.find_owner()
        owner.kill()
        self.cell.wait_for(lambda: self.cell.find_owner() is not owner)

    def check_limit(self) -> None:
        """Checks what the minions have run against the limits."""
        users = self.cell.users
        size = checker.TaskSize(workspace=platform.WORKSPACE, cpu=TASK_CPU)
        sizes = {each.task.split(".", 1)[0]: size for each in users.seen}
        found = checker.find_limit_breaches(users.seen, sizes, users.limits)
        self.assertEqual(found, [])

    def test_silent_minions_count_for_a_job_after_the_takeover(self) -> None:
        busy = [
            minion for minion in self.cell.users.minions.values() if minion.runs
        ]
        for minion in busy:
            minion.silent = True
        self.replace_owner()
        self.submit(work_ms=300)
        deadline = time.monotonic() + WATCHED_S
        while time.monotonic() < deadline:
            self.check_limit()
            gevent.sleep(0.2)
        for minion in busy:
            minion.silent = False
        self.cell.wait_state(self.long_job, "completed")
        self.check_limit()
