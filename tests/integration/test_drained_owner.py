"""Callers of an entry that stops while it owns the cell."""

import signal
import time
import unittest

from standins.users import cell

TASK_MS = 60_000
HANDOVER_LIMIT_S = 2.0


class DrainedOwnerTest(unittest.TestCase):
    """The balancer still sends callers to it for a while."""

    def setUp(self) -> None:
        """Stops the owner of a cell with a running job."""
        self.cell = cell.Cell(entry_count=3)
        self.addCleanup(self.cell.close)
        self.cell.wait_ready()
        self.cell.wait_for(self.cell.find_owner)
        self.owner = self.cell.find_owner()
        self.job_id = self.cell.submit(self.owner, payload={"work_ms": TASK_MS})
        self.cell.wait_state(self.job_id, "running")
        self.owner.signal(signal.SIGTERM)
        self.cell.wait_for(
            lambda: self.cell.find_owner() is not self.owner, HANDOVER_LIMIT_S
        )

    # Guards against a cancellation that ends without a verdict, as the entry
    # has no owner to ask.
    def test_a_cancellation_is_carried_out(self) -> None:
        asked_at = time.monotonic()
        status, body = self.owner.call("DELETE", f"/runs/{self.job_id}")
        self.assertEqual((status, body), (200, {"state": "cancelled"}))
        self.assertLess(time.monotonic() - asked_at, HANDOVER_LIMIT_S)

    def test_it_takes_over_no_more(self) -> None:
        for entry in self.cell.entries:
            if entry is not self.owner:
                entry.kill()
        self.assertEqual(self.owner.wait(), 0)
        self.assertIsNot(self.cell.find_owner(), self.owner)
