"""Tests of upper limits."""

import unittest

from hickoryreach.decisions import events
from hickoryreach.structure import jobs
from tests.core.decisions import cell as cells


class LimitsTest(unittest.TestCase):
    """What is placed counts until its end is confirmed."""

    def setUp(self):
        super().setUp()
        self.cell = cells.Cell()
        self.cell.join("w1")
        self.cell.entitle(north={"limit": cells.size(2, 4_000)}, south={})

    def test_no_more_than_the_limit_is_placed(self):
        self.cell.submit("0.a", tasks=3)
        self.assertEqual(self.cell.count_live("0.a"), 2)

    def test_cancelled_attempt_counts_until_it_has_ended(self):
        self.cell.submit("0.a", tasks=2)
        self.cell.send(events.JobCancelled(job_id="0.a"))
        self.cell.submit("0.b")
        self.assertEqual(self.cell.count_live("0.b"), 0)
        self.cell.end("0.a")
        self.assertEqual(self.cell.count_live("0.b"), 1)

    def test_raised_limit_starts_what_waits(self):
        self.cell.submit("0.a", tasks=3)
        self.cell.entitle(north={"limit": cells.size(3, 4_000)}, south={})
        self.assertEqual(self.cell.count_live("0.a"), 3)

    def test_lowered_limit_holds_for_new_starts(self):
        self.cell.submit("0.a", tasks=2)
        self.cell.entitle(north={"limit": cells.size(1, 4_000)}, south={})
        self.cell.submit("0.b")
        (first, _) = list(self.cell.started)
        worker_id = self.cell.started.pop(first)
        self.cell.send(
            events.TaskEnded(
                key=first, worker_id=worker_id, result=jobs.TaskResult.SUCCEEDED
            )
        )
        self.assertEqual(self.cell.count_live("0.b"), 0)

    def test_workspace_left_out_starts_nothing(self):
        self.cell.entitle(south={})
        self.cell.submit("0.a")
        self.assertEqual(self.cell.count_live("0.a"), 0)


if __name__ == "__main__":
    unittest.main()
