"""Tests of repeats."""

import unittest

from hickoryreach.structure import jobs
from tests.core.decisions import cell as cells


class RetriesTest(unittest.TestCase):
    """Only what may be repeated is, later each time and not for ever."""

    def setUp(self):
        super().setUp()
        self.cell = cells.Cell()
        self.cell.join("w1")

    def test_failed_task_is_not_repeated(self):
        self.cell.submit("0.a")
        self.cell.end("0.a", jobs.TaskResult.FAILED)
        self.cell.tick(1_000)
        self.assertEqual(self.cell.counts.total(), 1)
        self.assertIs(self.cell.changes["0.a"].state, jobs.JobState.FAILED)

    def test_unclear_end_repeats_idempotent_work_only(self):
        self.cell.submit("0.a")
        self.cell.submit("0.b", idempotent=False)
        for job_id in ("0.a", "0.b"):
            self.cell.end(job_id, jobs.TaskResult.STOPPED)
        self.cell.tick(1_000)
        self.assertEqual(self.cell.counts[("0.a", 0)], 2)
        self.assertEqual(self.cell.counts[("0.b", 0)], 1)
        self.assertIs(self.cell.changes["0.b"].state, jobs.JobState.UNKNOWN)

    def test_delays_grow_and_repeats_end_truthfully(self):
        self.cell.submit("0.a", idempotent=False)
        delays = []
        while "0.a" not in self.cell.changes:
            before_ms = self.cell.now_ms
            while not self.cell.started:
                self.cell.tick()
            delays.append(self.cell.now_ms - before_ms)
            self.cell.end("0.a", jobs.TaskResult.NOT_RUN)
        settings = self.cell.shard.settings
        self.assertEqual(self.cell.counts.total(), settings.retry_limit + 1)
        self.assertLess(delays[1], delays[5])
        self.assertLessEqual(max(delays), settings.retry_cap_ms + 50)
        change = self.cell.changes["0.a"]
        self.assertIs(change.state, jobs.JobState.REFUSED)
        self.assertIs(change.ran, jobs.ExecutionStatus.NOT_RUN)

    def test_checkpointed_task_goes_on_at_once(self):
        self.cell.submit("0.a")
        for _ in range(40):
            self.cell.end("0.a", jobs.TaskResult.CHECKPOINTED)
            self.cell.tick(200)
        self.assertEqual(self.cell.count_live("0.a"), 1)


if __name__ == "__main__":
    unittest.main()
