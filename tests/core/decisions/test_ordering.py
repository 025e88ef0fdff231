"""Tests of the order between workspaces."""

import collections
import unittest

from hickoryreach.decisions import events
from hickoryreach.structure import jobs
from tests.core.decisions import cell as cells

WORKERS = 10
ROUNDS = 200


class OrderingTest(unittest.TestCase):
    """A full cell is divided by share, and an idle one given to anybody."""

    def run_full(self, **changes):
        """Keeps a cell full and returns the mean part of each workspace."""
        cell = cells.Cell(**changes)
        cell.entitle(north={"share": 3.0}, south={"share": 1.0})
        for number in range(WORKERS):
            cell.join(f"w{number}")
        cell.submit("0.n", workspace="north", tasks=1_000)
        cell.submit("0.s", workspace="south", tasks=1_000)
        for _ in range(ROUNDS):
            key, worker_id = next(iter(cell.started.items()))
            del cell.started[key]
            cell.send(
                events.TaskEnded(
                    key=key,
                    worker_id=worker_id,
                    result=jobs.TaskResult.SUCCEEDED,
                )
            )
        live = collections.Counter(key.job_id for key in cell.started)
        return live["0.n"] / live.total(), live.total()

    def test_full_cell_is_divided_by_share(self):
        part, total = self.run_full()
        self.assertAlmostEqual(part, 0.75, delta=0.05)
        self.assertEqual(total, WORKERS * 4)

    def test_order_of_arrival_knows_no_shares(self):
        part, _ = self.run_full(ordering="fifo")
        self.assertEqual(part, 1.0)

    def test_idle_share_is_given_to_others(self):
        cell = cells.Cell()
        cell.entitle(north={"share": 9.0}, south={"share": 1.0})
        cell.join("w1")
        cell.submit("0.s", workspace="south", tasks=4)
        self.assertEqual(cell.count_live("0.s"), 4)

    def test_urgent_work_goes_before_earlier_work(self):
        cell = cells.Cell(preempting=False)
        cell.join("w1")
        cell.submit("0.a", tasks=6)
        cell.submit("0.u", urgent=True)
        key = next(iter(cell.started))
        worker_id = cell.started.pop(key)
        cell.send(
            events.TaskEnded(
                key=key, worker_id=worker_id, result=jobs.TaskResult.SUCCEEDED
            )
        )
        self.assertEqual(cell.count_live("0.u"), 1)


if __name__ == "__main__":
    unittest.main()
