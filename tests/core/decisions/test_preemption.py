"""Tests of room for urgent work."""

import unittest

from hickoryreach.decisions import effects
from hickoryreach.structure import jobs
from tests.core.decisions import cell as cells

URGENT_MS = 1_100


class PreemptionTest(unittest.TestCase):
    """Urgent work displaces the cheapest preemptible tasks."""

    def setUp(self):
        super().setUp()
        self.cell = cells.Cell()
        self.cell.join("w1")

    def fill(self, **changes):
        """Fills the cell with four tasks, placed a second apart."""
        for number in range(4):
            self.cell.submit(f"0.{number}", **changes)
            self.cell.acknowledge()
            self.cell.tick(1_000)

    def checkpoints(self):
        """Returns the keys asked to checkpoint."""
        return [
            effect.key
            for effect in self.cell.effects
            if isinstance(effect, effects.CheckpointTask)
        ]

    def test_youngest_task_makes_room_in_time(self):
        self.fill(preemptible=True)
        self.cell.submit("0.u", urgent=True, workspace="south")
        began_ms = self.cell.now_ms
        (key,) = self.checkpoints()
        self.assertEqual(key.job_id, "0.3")
        self.cell.tick(300)
        self.cell.end("0.3", jobs.TaskResult.CHECKPOINTED)
        self.assertEqual(self.cell.count_live("0.u"), 1)
        self.assertLessEqual(self.cell.now_ms - began_ms, URGENT_MS)
        self.cell.end("0.u")
        self.assertEqual(self.cell.count_live("0.3"), 1)

    def test_task_that_is_not_checkpointed_in_time_is_stopped(self):
        self.fill(preemptible=True)
        self.cell.submit("0.u", urgent=True)
        self.cell.tick(400)
        self.assertEqual(
            [stop.key.job_id for stop in self.cell.stops()], ["0.3"]
        )

    def test_work_that_may_not_be_repeated_is_never_displaced(self):
        self.fill(preemptible=True, idempotent=False)
        self.cell.submit("0.u", urgent=True)
        self.cell.tick(2_000)
        self.assertEqual(self.checkpoints(), [])
        self.assertEqual(self.cell.stops(), [])

    def test_room_made_is_not_taken_by_other_work(self):
        self.fill(preemptible=True)
        self.cell.submit("0.u", urgent=True, need=cells.size(2, 1_000))
        self.cell.submit("0.z")
        self.assertEqual(len(self.checkpoints()), 2)
        for key in self.checkpoints():
            self.cell.end(key.job_id, jobs.TaskResult.CHECKPOINTED)
        self.assertEqual(self.cell.count_live("0.u"), 1)
        self.assertEqual(self.cell.count_live("0.z"), 0)

    def test_urgent_work_keeps_within_its_limit(self):
        self.cell.entitle(north={}, south={"limit": cells.size(0, 0)})
        self.fill(preemptible=True)
        self.cell.submit("0.u", urgent=True, workspace="south")
        self.cell.tick(1_000)
        self.assertEqual(self.checkpoints(), [])

    def test_workspace_at_its_limit_displaces_its_own_work(self):
        self.cell.join("w2")
        self.cell.entitle(north={"limit": cells.size(4, 8_000)}, south={})
        self.fill(preemptible=True)
        self.cell.submit("0.u", urgent=True)
        (key,) = self.checkpoints()
        self.cell.end(key.job_id, jobs.TaskResult.CHECKPOINTED)
        self.assertEqual(self.cell.count_live("0.u"), 1)
        self.assertEqual(len(self.cell.started), 4)


if __name__ == "__main__":
    unittest.main()
