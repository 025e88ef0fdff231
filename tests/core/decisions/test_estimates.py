"""Tests of learned sizes, overruns and raised caps."""

import unittest

from hickoryreach.decisions import effects
from tests.core.decisions import cell as cells


class EstimatesTest(unittest.TestCase):
    """Sizes follow reported use without overcommitting."""

    def setUp(self):
        super().setUp()
        self.cell = cells.Cell()
        self.cell.join("w1")

    def teach(self, used, **changes):
        """Ends enough jobs of one command with a peak use."""
        for number in range(self.cell.shard.settings.learn_after):
            self.cell.submit(f"0.t{number}", **changes)
            self.cell.end(f"0.t{number}", used=used, run_ms=1_000)

    def test_overdeclared_command_is_given_what_it_uses(self):
        self.teach(cells.size(0.5, 500), need=cells.size(4, 8_000))
        self.cell.submit("0.a", tasks=9, need=cells.size(4, 8_000))
        self.assertEqual(self.cell.count_live("0.a"), 8)

    def test_underdeclared_command_is_given_what_it_uses(self):
        self.teach(cells.size(2, 4_000))
        self.cell.submit("0.a", tasks=4)
        self.assertEqual(self.cell.count_live("0.a"), 2)

    def test_workspace_without_a_record_goes_by_that_of_others(self):
        for _ in range(2):
            self.teach(cells.size(2, 4_000), workspace="south", command="run")
            self.cell.shard.jobs.clear()
        self.cell.submit("0.a", tasks=4, command="run")
        self.assertEqual(self.cell.count_live("0.a"), 2)
        self.cell.submit("0.b", command="other", need=cells.size(0.1, 100))
        self.assertEqual(self.cell.count_live("0.b"), 0)

    def test_learning_moves_jobs_that_wait(self):
        self.cell.submit("0.wide", tasks=2, need=cells.size(3, 4_000))
        self.assertEqual(self.cell.count_live("0.wide"), 1)
        for number in range(3):
            self.cell.submit(f"0.{number}")
            self.cell.end(f"0.{number}", used=cells.size(1, 1_000))
        self.assertEqual(self.cell.count_live("0.wide"), 2)

    def test_overrun_grows_into_free_room_only(self):
        self.cell.submit("0.a")
        self.cell.report("w1", used=cells.size(2, 1_000))
        free = self.cell.shard.workers["w1"].free
        self.assertEqual(free.cpu_millis, 2 * cells.CORE)
        self.cell.submit("0.b", tasks=2, command="b")
        out = self.cell.report("w1", used=cells.size(3, 1_000))
        throttled = [
            each for each in out if isinstance(each, effects.ThrottleTask)
        ]
        self.assertEqual(len(throttled), 3)
        free = self.cell.shard.workers["w1"].free
        self.assertGreaterEqual(free.cpu_millis, 0)

    def test_memory_overrun_checkpoints_preemptible_work_beside_it(self):
        self.cell.submit("0.a", need=cells.size(1, 4_000))
        self.cell.submit(
            "0.p", need=cells.size(1, 4_000), preemptible=True, command="p"
        )
        self.cell.acknowledge()
        out = self.cell.report("w1", used=cells.size(0, 5_000))
        checkpointed = {
            each.key.job_id
            for each in out
            if isinstance(each, effects.CheckpointTask)
        }
        self.assertEqual(checkpointed, {"0.p"})

    def test_one_capped_attempt_gets_more_to_show_its_demand(self):
        self.cell.submit("0.a", tasks=2, need=cells.size(0.5, 1_000))
        out = self.cell.report("w1", used=cells.size(0.5, 1_000))
        raised = [
            each for each in out if isinstance(each, effects.ThrottleTask)
        ]
        self.assertEqual(len(raised), 1)
        self.assertEqual(raised[0].cpu_millis, 2.5 * cells.CORE)


if __name__ == "__main__":
    unittest.main()
