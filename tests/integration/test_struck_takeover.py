"""An entry that the store turns away as it takes the cell over."""

import time
import unittest

import gevent

from standins.users import cell

ANSWER_S = 0.004
SLOW_ANSWER_S = 0.24
READ_BEGUN_S = 0.15
OUTAGE_S = 4.0
STALE_LIMIT_S = 2.0
STALE_WATCH_S = 2.0
SETTLE_S = 5.0
JOB_LIMIT_S = 14.0
JOBS = 3


class StruckTakeoverTest(unittest.TestCase):
    """It has written the owner's key, and not read the cell yet."""

    def setUp(self) -> None:
        """Brings the outage about, and ends it."""
        self.cell = cell.Cell(entry_count=3, minion_count=24)
        self.addCleanup(self.cell.close)
        self.cell.wait_ready()
        self.cell.wait_for(self.cell.find_owner)
        first = self.cell.find_owner()
        faults = self.cell.users.store.faults
        faults.delay_s = SLOW_ANSWER_S
        first.kill()
        self.cell.wait_for(lambda: self.cell.find_owner() is not first)
        self.struck = self.cell.find_owner()
        gevent.sleep(READ_BEGUN_S)
        faults.busy.add(self.struck.name)
        gevent.sleep(OUTAGE_S)
        faults.delay_s = ANSWER_S
        faults.busy.discard(self.struck.name)
        self.calm_at = time.monotonic()

    # Guards against links of an ended ownership that go on for ever.
    def test_no_minion_is_polled_under_its_token(self) -> None:
        gevent.sleep(STALE_LIMIT_S + STALE_WATCH_S)
        stale = [
            each
            for each in self.cell.users.fenced
            if each.at_s > self.calm_at + STALE_LIMIT_S
        ]
        self.assertEqual(stale, [])

    # Guards against an entry that accepts jobs and loses the cell again and
    # again before it has started them.
    def test_it_runs_what_it_accepts_once_it_is_the_only_entry(self) -> None:
        self.cell.wait_for(lambda: self.cell.find_owner() is not self.struck)
        self.cell.wait_for(self.struck.is_ready)
        for entry in self.cell.entries:
            if entry is not self.struck and entry.process.poll() is None:
                entry.kill()
        self.cell.wait_for(lambda: self.cell.find_owner() is self.struck)
        gevent.sleep(SETTLE_S)
        job_ids = [self.cell.submit(self.struck) for _ in range(JOBS)]
        for job_id in job_ids:
            self.cell.wait_for(
                lambda job_id=job_id: (
                    self.cell.get_state(job_id) == "completed"
                ),
                JOB_LIMIT_S,
            )
