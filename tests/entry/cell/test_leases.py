"""Tests of how long a minion's lease may last."""

import unittest
from unittest import mock

from hickoryreach_entry import clock
from hickoryreach_entry.cell import leases

CLOCK_MS = 50_000


class LeaseTest(unittest.TestCase):
    """A lease on a clock that may be slow."""

    def setUp(self) -> None:
        """Reads the minion's clock at a time that tests move on."""
        self.now_ms = 1_000
        patch = mock.patch.object(clock, "now_ms", lambda: self.now_ms)
        patch.start()
        self.addCleanup(patch.stop)
        self.lease = leases.Lease()
        self.lease.read_clock(CLOCK_MS)

    def test_a_slow_clock_is_not_overestimated(self) -> None:
        self.now_ms += 1_000
        self.assertEqual(self.lease.estimate_clock(), CLOCK_MS + 980)

    def test_it_never_gets_shorter(self) -> None:
        self.lease.extend(4_000)
        self.assertEqual(self.lease.extend(1_000), CLOCK_MS + 1_000)
        self.assertEqual(self.lease.deadline_ms, CLOCK_MS + 4_000)

    def test_it_expires_after_the_deadline_on_the_slowest_clock(self) -> None:
        self.lease.extend(980)
        self.now_ms += 1_000
        self.assertFalse(self.lease.is_expired())
        left_ms = self.lease.get_remaining_ms()
        self.assertGreater(left_ms, 0)
        self.now_ms += left_ms + 10
        self.assertTrue(self.lease.is_expired())
        self.assertEqual(self.lease.get_remaining_ms(), 0)

    def test_another_incarnation_has_a_lease_of_its_own(self) -> None:
        self.lease.extend(4_000)
        self.lease.begin(100, 6_000)
        self.assertEqual(self.lease.deadline_ms, 6_100)
