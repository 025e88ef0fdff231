"""Tests of offers where hundreds of lanes are blocked."""

import unittest

from hickoryreach.decisions import events
from hickoryreach.decisions import ledger
from hickoryreach.structure import jobs
from tests.core.decisions import cell as cells

LANES = ledger.OFFER_ALL_LIMIT + 50


class MatchingTest(unittest.TestCase):
    """Room still goes to whoever goes first, and is not left idle."""

    def setUp(self):
        super().setUp()
        self.cell = cells.Cell(preempting=False)
        self.cell.entitle(
            busy={}, **{f"ws{number}": {} for number in range(LANES)}
        )
        self.cell.join("w1")
        self.cell.submit("0.busy", workspace="busy", tasks=4)
        for number in range(LANES):
            self.cell.submit(
                f"0.{number}",
                workspace=f"ws{number}",
                need=cells.size(1.5, 1_000 + number),
            )

    def end_one(self):
        """Ends one task of the busy workspace."""
        key = next(key for key in self.cell.started if key.job_id == "0.busy")
        worker_id = self.cell.started.pop(key)
        self.cell.send(
            events.TaskEnded(
                key=key, worker_id=worker_id, result=jobs.TaskResult.SUCCEEDED
            )
        )

    def test_urgent_lane_goes_first(self):
        self.cell.submit("0.u", workspace="ws7", urgent=True)
        self.end_one()
        self.assertEqual(self.cell.count_live("0.u"), 1)

    def test_small_task_far_down_the_order_takes_room_nobody_else_fits(self):
        self.cell.submit("0.small", workspace="busy")
        self.end_one()
        self.assertEqual(self.cell.count_live("0.small"), 1)

    def test_each_freed_room_is_used(self):
        for _ in range(4):
            self.end_one()
        self.cell.tick(12_000)
        self.assertEqual(len(self.cell.started), 2)


if __name__ == "__main__":
    unittest.main()
