"""Tests of progressive filling."""

import unittest

from bench import shares
from hickoryreach.structure import resources

CAPACITY = resources.Resources(cpu_millis=9_000, memory_mb=18_000)


def make_demand(
    cpu_millis: int, memory_mb: int, share: float = 1.0, limit: float = 1.0
) -> shares.Demand:
    """Returns a demand."""
    return shares.Demand(
        share=share,
        wanted=resources.Resources(cpu_millis=cpu_millis, memory_mb=memory_mb),
        limit_part=limit,
    )


class FillTest(unittest.TestCase):
    """Entitlements on a full cell."""

    def test_published_example_of_dominant_resource_fairness(self):
        parts = shares.fill(
            {
                "a": make_demand(10_000, 40_000),
                "b": make_demand(30_000, 10_000),
            },
            CAPACITY,
            CAPACITY,
        )
        self.assertAlmostEqual(parts["a"], 2 / 3)
        self.assertAlmostEqual(parts["b"], 2 / 3)

    def test_what_a_small_demand_leaves_goes_to_the_others(self):
        parts = shares.fill(
            {
                "a": make_demand(900, 0),
                "b": make_demand(90_000, 0, share=3.0),
                "c": make_demand(90_000, 0),
            },
            CAPACITY,
            CAPACITY,
        )
        self.assertAlmostEqual(parts["a"], 0.1)
        self.assertAlmostEqual(parts["b"], 0.675)
        self.assertAlmostEqual(parts["c"], 0.225)

    def test_a_limit_ends_the_growth(self):
        parts = shares.fill(
            {
                "a": make_demand(90_000, 0, limit=0.25),
                "b": make_demand(90_000, 0),
            },
            CAPACITY,
            CAPACITY,
        )
        self.assertAlmostEqual(parts["a"], 0.25)
        self.assertAlmostEqual(parts["b"], 0.75)


if __name__ == "__main__":
    unittest.main()
