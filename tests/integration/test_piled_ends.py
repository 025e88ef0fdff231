"""A takeover while a minion has more ends than one reply to a poll lists."""

import signal
import unittest

import gevent

from standins.users import cell
from standins.users import checker
from standins.users import minions

TASKS = minions.ENDS_AT_ONCE + 200
WORK_MS = 4_000
BEFORE_ENDS_S = 0.2
FREEZE_S = 5.0
SLOW_ANSWER_S = 0.15  # the first ends are acknowledged later than polled
DOWN_S = 1.0
STARTED_LIMIT_S = 10.0
JOB_LIMIT_S = 40.0
WATCHED_S = 3.0


class PiledEndsTest(unittest.TestCase):
    """All tasks of a job end while no owner polls the minions."""

    def setUp(self) -> None:
        """Starts the tasks, all on one minion or two."""
        self.cell = cell.Cell(entry_count=3, minion_count=2)
        self.addCleanup(self.cell.close)
        self.cell.wait_ready()
        self.cell.wait_for(self.cell.find_owner)
        self.job_id = self.cell.submit(
            self.cell.entries[0],
            count=TASKS,
            cpu=10,
            memMb=16,
            estimateMs=WORK_MS,
            payload={"work_ms": WORK_MS},
        )
        users = self.cell.users
        self.cell.wait_for(lambda: len(users.starts) >= TASKS, STARTED_LIMIT_S)
        users.store.faults.delay_s = SLOW_ANSWER_S

    def check_runs(self) -> None:
        """Waits for the end of the job; each task must have run once."""
        self.cell.wait_for(
            lambda: self.cell.get_state(self.job_id) == "completed",
            JOB_LIMIT_S,
        )
        gevent.sleep(WATCHED_S)
        faults = checker.find_faults(self.cell.users.seen, {self.job_id: TASKS})
        self.assertEqual(faults[:5], [])
        self.assertEqual(set(self.cell.users.starts.values()), {1})

    # Guards against tasks that run twice as a new owner takes a cut list of
    # ends for a whole one.
    def test_one_owner_is_frozen(self) -> None:
        owner = self.cell.find_owner()
        gevent.sleep(WORK_MS / 1_000 - BEFORE_ENDS_S)
        owner.signal(signal.SIGSTOP)
        gevent.sleep(FREEZE_S)
        owner.signal(signal.SIGCONT)
        self.check_runs()

    # Guards against the same where no entry is left to take over.
    def test_every_entry_is_killed(self) -> None:
        gevent.sleep(WORK_MS / 1_000 - DOWN_S - BEFORE_ENDS_S)
        for entry in self.cell.entries:
            entry.signal(signal.SIGKILL)
        for entry in self.cell.entries:
            entry.wait()
        gevent.sleep(DOWN_S)
        for entry in self.cell.entries:
            entry.start()
        self.check_runs()
