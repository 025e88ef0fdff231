"""Seeds of the soak that once failed, run again."""

import unittest

from soak import faults
from soak import trial

SECONDS = 10.0
LATER = {  # drawn since these seeds failed
    "lose_registration",
    "change_limit",
    "change_kind",
    "turn_successor_away",
}


class SoakTest(unittest.TestCase):
    """Random faults against real processes."""

    def run_seed(self, seed: int) -> None:
        """Runs one seed."""
        soak = trial.Soak(
            seed=seed,
            entries=4,
            minions=6,
            names=set(faults.faults) - LATER,
        )
        self.addCleanup(soak.cell.close)
        found = soak.run(SECONDS)
        self.assertEqual(found, [], ",".join(soak.struck))
        self.assertGreater(len(soak.accepted), 0)

    def test_callers_that_end_late(self) -> None:
        self.run_seed(132)

    def test_task_started_again_after_a_noted_end(self) -> None:
        self.run_seed(202)
