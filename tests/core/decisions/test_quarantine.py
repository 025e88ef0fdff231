"""Tests of workers that fail what they start."""

import unittest

from hickoryreach.structure import jobs
from tests.core.decisions import cell as cells


class QuarantineTest(unittest.TestCase):
    """A bad worker is set aside, a bad job is not held against workers."""

    def setUp(self):
        super().setUp()
        self.cell = cells.Cell()
        for number in range(4):
            self.cell.join(f"w{number}")

    def run_jobs(self, bad_worker="", bad_command="", rounds=5):
        """Fills the cell with jobs of four commands again and again.

        Returns:
            How many of them started on the bad worker.
        """
        starts = 0
        slots = 4 * len(self.cell.shard.workers)
        for number in range(rounds * slots):
            command = "abcd"[number % 4]
            self.cell.submit(f"0.{number}", command=command)
            if (number + 1) % slots == 0:
                starts += self.end_all(bad_worker, bad_command)
        while self.cell.started:
            starts += self.end_all(bad_worker, bad_command)
        return starts

    def end_all(self, bad_worker, bad_command):
        """Ends what runs; returns how much of it ran on the bad worker."""
        starts = 0
        for key, worker_id in list(self.cell.started.items()):
            command = self.cell.shard.jobs[key.job_id].job.command
            failed = worker_id == bad_worker or command == bad_command
            starts += worker_id == bad_worker
            self.cell.end(
                key.job_id,
                jobs.TaskResult.FAILED if failed else jobs.TaskResult.SUCCEEDED,
            )
        self.cell.tick()
        return starts

    def test_worker_that_fails_everything_is_set_aside_soon(self):
        starts = self.run_jobs(bad_worker="w0")
        self.assertLessEqual(starts, 8)
        self.assertEqual(list(self.cell.shard.quarantined), ["w0"])
        self.cell.submit("0.more", tasks=16)
        self.assertEqual(self.cell.count_live("0.more"), 12)

    def test_job_that_fails_everywhere_blames_no_worker(self):
        self.run_jobs(bad_command="b", rounds=10)
        self.assertEqual(self.cell.shard.quarantined, {})

    def test_worker_is_probed_back_with_one_task(self):
        self.cell = cells.Cell()
        for name in ("w0", "w1"):
            self.cell.join(name)
        self.run_jobs(bad_worker="w0")
        self.assertIn("w0", self.cell.shard.quarantined)
        self.cell.submit("0.busy", tasks=4)
        self.cell.tick(self.cell.shard.settings.quarantine_base_ms + 100)
        self.cell.submit("0.once", idempotent=False)
        self.assertEqual(self.cell.count_live("0.once"), 0)
        self.cell.submit("0.probe", tasks=3)
        self.assertEqual(self.cell.count_live("0.probe"), 1)
        self.cell.end("0.probe")
        self.assertEqual(self.cell.shard.quarantined, {})
        self.assertEqual(self.cell.count_live("0.once"), 1)

    def test_failed_probe_doubles_the_quarantine(self):
        self.cell = cells.Cell()
        for name in ("w0", "w1"):
            self.cell.join(name)
        self.run_jobs(bad_worker="w0")
        worker = self.cell.shard.workers["w0"]
        base_ms = self.cell.shard.settings.quarantine_base_ms
        self.cell.submit("0.busy", tasks=4)
        self.cell.tick(base_ms + 100)
        self.cell.submit("0.probe", command="a")
        self.cell.end("0.probe", jobs.TaskResult.FAILED)
        left_ms = worker.quarantined_until_ms - self.cell.now_ms
        self.assertGreater(left_ms, base_ms)


if __name__ == "__main__":
    unittest.main()
