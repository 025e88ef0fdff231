"""Random takeovers, cuts, late orders and limits against what minions run."""

import unittest

from tests.core.scheduling.model import cell

SECONDS = 30.0
SEEDS = range(1, 11)
LIMITS_CPU = {"hydro": (12_000, 4_000, 20_000), "wind": (16_000, 6_000)}


class RandomTakeoversTest(unittest.TestCase):
    """No task runs twice and no workspace exceeds its limit."""

    def test_seeds(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                model = cell.Model(seed=seed, limits_cpu=LIMITS_CPU)
                model.run(SECONDS)
                self.assertEqual(model.judge.faults[:5], [])
                self.assertGreater(model.starts, 50)
                self.assertGreater(model.takeovers, 1)
