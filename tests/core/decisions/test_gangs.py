"""Tests of gangs."""

import unittest

from hickoryreach.decisions import events
from hickoryreach.structure import jobs
from tests.core.decisions import cell as cells


class GangsTest(unittest.TestCase):
    """All tasks start together, and waiting ends."""

    def setUp(self):
        super().setUp()
        self.cell = cells.Cell()
        self.cell.join("w1")
        self.cell.join("w2", rack="r2")

    def gang(self, job_id, tasks=8, **changes):
        """Submits a gang."""
        self.cell.submit(job_id, kind=jobs.Kind.GANG, tasks=tasks, **changes)

    def test_gang_starts_whole_or_not_at_all(self):
        self.cell.submit("0.a")
        self.gang("0.g")
        self.cell.tick(500)
        self.assertEqual(self.cell.count_live("0.g"), 0)
        self.cell.end("0.a")
        self.cell.tick(500)
        self.assertEqual(self.cell.count_live("0.g"), 8)

    def test_small_work_goes_first_only_until_patience_ends(self):
        self.cell.submit("0.a", tasks=4)
        self.gang("0.g")
        self.cell.submit("0.b")
        self.assertEqual(self.cell.count_live("0.b"), 1)
        self.cell.tick(2_000)
        self.cell.submit("0.c", tasks=4)
        self.assertEqual(self.cell.count_live("0.c"), 0)
        self.cell.end("0.a")
        self.cell.end("0.b")
        self.cell.tick(500)
        self.assertEqual(self.cell.count_live("0.g"), 8)

    def test_two_gangs_do_not_wait_for_each_other(self):
        self.cell.submit("0.a", tasks=8)
        self.gang("0.g")
        self.gang("0.h", workspace="south")
        self.cell.tick(2_000)
        self.cell.end("0.a")
        self.cell.tick(500)
        live = {self.cell.count_live("0.g"), self.cell.count_live("0.h")}
        self.assertEqual(live, {0, 8})
        self.cell.end("0.g")
        self.cell.end("0.h")
        self.cell.tick(2_000)
        live = self.cell.count_live("0.g") + self.cell.count_live("0.h")
        self.assertEqual(live, 8)

    def test_gang_that_lost_a_member_starts_over_whole(self):
        self.cell.join("w3")
        self.gang("0.g")
        lost = next(iter(self.cell.started.values()))
        self.cell.send(events.WorkerLost(worker_id=lost))
        for key in [key for key in self.cell.started]:
            if self.cell.started[key] == lost:
                del self.cell.started[key]
        self.assertEqual(len(self.cell.stops()), self.cell.count_live("0.g"))
        self.cell.end("0.g", jobs.TaskResult.STOPPED)
        self.cell.tick(500)
        self.assertEqual(self.cell.count_live("0.g"), 8)

    def test_gang_too_large_for_the_cell_ends_with_the_reason(self):
        self.gang("0.g", tasks=9)
        self.cell.tick(self.cell.shard.settings.impossible_ms + 2_000)
        change = self.cell.changes["0.g"]
        self.assertIs(change.state, jobs.JobState.REFUSED)
        self.assertIs(change.ran, jobs.ExecutionStatus.NOT_RUN)
        self.assertEqual(change.reason, "impossible")

    def test_reservation_is_given_back_when_the_gang_is_cancelled(self):
        self.cell.submit("0.a", tasks=4)
        self.gang("0.g")
        self.cell.tick(2_000)
        self.cell.send(events.JobCancelled(job_id="0.g"))
        self.cell.submit("0.b", tasks=4)
        self.assertEqual(self.cell.count_live("0.b"), 4)


if __name__ == "__main__":
    unittest.main()
