"""Tests of room kept for large tasks."""

import unittest

from hickoryreach.decisions import events
from hickoryreach.structure import jobs
from tests.core.decisions import cell as cells

ROUNDS = 60


class StarvationTest(unittest.TestCase):
    """Small tasks do not keep a large one from starting."""

    def run_rounds(self, **changes):
        """Keeps a worker full of small tasks; returns starts of a large one."""
        cell = cells.Cell(**changes)
        cell.join("w1")
        cell.submit("0.small", tasks=200)
        cell.submit("0.large", workspace="south", need=cells.size(3))
        for _ in range(ROUNDS):
            cell.tick(100)
            key, worker_id = next(iter(cell.started.items()))
            del cell.started[key]
            cell.send(
                events.TaskEnded(
                    key=key,
                    worker_id=worker_id,
                    result=jobs.TaskResult.SUCCEEDED,
                )
            )
        return cell.counts[("0.large", 0)]

    def test_large_task_of_a_workspace_below_its_share_starts(self):
        self.assertEqual(self.run_rounds(), 1)

    def test_large_task_starves_without_room_kept(self):
        self.assertEqual(self.run_rounds(starvation_ms=0), 0)


if __name__ == "__main__":
    unittest.main()
