"""Tests of services."""

import collections
import unittest

from hickoryreach.decisions import events
from hickoryreach.structure import jobs
from tests.core.decisions import cell as cells


class ServicesTest(unittest.TestCase):
    """Tasks of a service are spread and kept running."""

    def setUp(self):
        super().setUp()
        self.cell = cells.Cell()
        for domain in "abc":
            for rack in ("r1", "r2"):
                self.cell.join(
                    f"{domain}/{rack}", failure_domain=domain, rack=rack
                )

    def serve(self, **changes):
        """Submits a service."""
        self.cell.submit("0.s", kind=jobs.Kind.SERVICE, **changes)

    def test_tasks_are_spread_over_domains_then_racks(self):
        self.serve(tasks=6)
        places = collections.Counter(self.cell.started.values())
        self.assertEqual(set(places.values()), {1})
        self.assertEqual(len(places), 6)

    def test_task_of_a_lost_worker_is_replaced(self):
        self.serve(tasks=3)
        lost = next(iter(self.cell.started.values()))
        self.cell.send(events.WorkerLost(worker_id=lost))
        self.assertEqual(self.cell.counts.total(), 4)

    def test_task_that_ends_is_started_again_after_a_delay(self):
        self.serve()
        self.cell.end("0.s")
        self.assertEqual(self.cell.counts.total(), 1)
        self.cell.tick(200)
        self.assertEqual(self.cell.counts.total(), 2)

    def test_service_leaves_a_departing_worker(self):
        self.serve()
        (worker_id,) = self.cell.started.values()
        domain, rack = worker_id.split("/")
        self.cell.join(
            worker_id, failure_domain=domain, rack=rack, departing=True
        )
        self.cell.end("0.s", jobs.TaskResult.STOPPED)
        self.assertNotEqual(list(self.cell.started.values()), [worker_id])
        self.assertEqual(self.cell.count_live("0.s"), 1)


if __name__ == "__main__":
    unittest.main()
