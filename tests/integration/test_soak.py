"""Seeds of the soak that once failed, run again."""

from collections.abc import Collection
import unittest

from soak import faults
from soak import trial

SECONDS = 10.0
LATER = {  # drawn since these seeds failed
    "lose_registration",
    "change_limit",
    "change_kind",
    "turn_successor_away",
    "meet_crowd",
}
EARLIER = frozenset(faults.faults) - LATER
CROWDED = {"meet_crowd", "kill_entry", "stop_entry", "cut_minion"}


class SoakTest(unittest.TestCase):
    """Random faults against real processes."""

    def run_seed(self, seed: int, names: Collection[str] = EARLIER) -> None:
        """Runs one seed with these faults."""
        soak = trial.Soak(
            seed=seed,
            entries=4,
            minions=6,
            names=names,
        )
        self.addCleanup(soak.cell.close)
        found = soak.run(SECONDS)
        self.assertEqual(found, [], ",".join(soak.struck))
        self.assertGreater(len(soak.accepted), 0)

    def test_callers_that_end_late(self) -> None:
        self.run_seed(132)

    def test_task_started_again_after_a_noted_end(self) -> None:
        self.run_seed(202)

    def test_crowds_beside_lost_entries_and_minions(self) -> None:
        self.run_seed(97_100, CROWDED)

    # Guards against jobs that a paused entry stores after their cancellation.
    def test_cancellations_beside_paused_entries(self) -> None:
        self.run_seed(54_101, {"freeze_entry"})
