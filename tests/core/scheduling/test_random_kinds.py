"""Minions that return under their id as another kind, at random."""

import unittest
from unittest import mock

from hickoryreach.scheduling import eligibility
from hickoryreach.scheduling import free_capacity
from hickoryreach.scheduling import minion_records
from hickoryreach.scheduling import state
from tests.core.scheduling.model import cell
from tests.core.scheduling.model import scenarios

SEEDS = range(1, 5)


def list_advised(
    known: state.CellState,
    step: state.StepRecord,
    available: free_capacity.FreeCapacity,
) -> list[str]:
    """Returns the minions that advice allows, whatever they have become."""
    if eligibility.get_advice_terms(known, step) is None:
        return eligibility.list_minions(known, step, available)
    return [each for each in step.allowed or () if each in available.free]


class RandomKindsTest(unittest.TestCase):
    """No task starts on a minion without its label or beyond its limit.

    Guards against what was known of an earlier incarnation and counts for the
    present one (ROUTE), and against tasks that then never start (LOST).
    """

    def play(self, seed: int) -> cell.Model:
        """Plays one seed; returns it before its trouble has ended."""
        model = cell.Model(seed=seed, scenario=scenarios.KINDS)
        model.run(scenarios.KINDS.seconds)
        return model

    def test_seeds(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                model = self.play(seed)
                model.settle()
                self.assertEqual(model.judge.faults[:5], [])
                self.assertEqual(model.lost.faults[:5], [])
                self.assertGreater(model.starts, 150)
                self.assertGreater(model.kind_changes, 10)
                self.assertGreater(model.takeovers, 1)

    def check_is_found(self) -> None:
        """Expects that some seed breaks the rule."""
        found = [
            line for seed in SEEDS for line in self.play(seed).judge.faults
        ]
        self.assertIn(" requires ", " ".join(found))

    def test_a_look_at_advice_alone_is_found(self) -> None:
        with mock.patch.object(
            eligibility, "list_usable_minions", list_advised
        ):
            self.check_is_found()

    def test_an_earlier_registration_that_counts_is_found(self) -> None:
        with mock.patch.object(
            minion_records.MinionRecord, "is_registration_current", True
        ):
            self.check_is_found()
