"""Tests of the slopes and of what is worked out from them."""

import unittest

from bench import roles
from bench import slopes


class SlopesTest(unittest.TestCase):
    """Measured slopes."""

    def test_a_listed_task_has_the_same_size_each_time(self):
        one, two = slopes.measure_syncs(), slopes.measure_syncs()
        sizes = [
            [slope.value for slope in found if "bytes" in slope.name]
            for found in (one, two)
        ]
        self.assertEqual(sizes[0], sizes[1])

    def test_journal_records_cost_something(self):
        self.assertTrue(all(s.value > 0 for s in slopes.measure_journal()))


class RolesTest(unittest.TestCase):
    """Figures at the size to design for."""

    def test_a_worker_costs_its_syncs_and_its_starts(self):
        costs = {
            "sync, bytes without tasks": 1_000.0,
            "sync, bytes a task listed": 0.0,
            "sync, bytes a start": 0.0,
        }
        self.assertEqual(roles.get_worker_bytes(costs), 1_000.0 / roles.SYNC_S)
        costs["sync, bytes a start"] = 18.0
        self.assertAlmostEqual(
            roles.get_worker_bytes(costs) - 1_000.0 / roles.SYNC_S,
            18.0 * roles.STARTS_PER_S / roles.WORKERS,
        )


if __name__ == "__main__":
    unittest.main()
