"""Random takeovers, cuts, late orders and limits against what minions run."""

import unittest

from tests.core.scheduling.model import cell
from tests.core.scheduling.model import scenarios

SEEDS = range(1, 11)
FEW_JOBS_SEEDS = range(1, 6)
SHORT_LISTS_SEEDS = range(1, 6)


class RandomTakeoversTest(unittest.TestCase):
    """No task runs twice and no workspace exceeds its limit."""

    def play(self, seed: int, scenario: scenarios.Scenario) -> None:
        """Plays one seed and judges it."""
        with self.subTest(seed=seed):
            model = cell.Model(seed=seed, scenario=scenario)
            model.run(scenario.seconds)
            self.assertEqual(model.judge.faults[:5], [])
            self.assertGreater(model.starts, 50)
            self.assertGreater(model.takeovers, 1)

    def test_seeds(self) -> None:
        for seed in SEEDS:
            self.play(seed, scenarios.TAKEOVERS)

    # Guards against tasks that are started again although they have ended, as
    # more ends wait than one reply to a poll lists.
    def test_seeds_with_short_lists(self) -> None:
        for seed in SHORT_LISTS_SEEDS:
            self.play(seed, scenarios.SHORT_LISTS)

    def test_seeds_with_few_jobs(self) -> None:
        for seed in FEW_JOBS_SEEDS:
            self.play(seed, scenarios.FEW_JOBS)
