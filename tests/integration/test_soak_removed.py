"""The soak finds each protection that is taken out."""

from collections.abc import Iterable
import unittest

from soak import faults
from soak import trial
from tests.integration import cases

MODULE = "tests.integration.broken_cell"
SECONDS = 10.0
SEEDS = range(1, 7)


@cases.long_only
class SoakRemovedTest(unittest.TestCase):
    """One test for each of five protections of the users' cell."""

    def find_without(
        self,
        protection: str,
        words: str,
        names: Iterable[str] = tuple(faults.faults),
    ) -> None:
        """Runs seeds until one finds faults that hold some words.

        Args:
            protection: What is taken out.
            words: Part of a line that must be found.
            names: Faults to draw from.
        """
        for seed in SEEDS:
            soak = trial.Soak(
                seed=seed,
                entries=4,
                minions=6,
                names=names,
                module=f"{MODULE} {protection}",
            )
            try:
                found = soak.run(SECONDS)
            finally:
                soak.cell.close()
            if any(words in line for line in found):
                return
        self.fail(f"no seed of {list(SEEDS)} found {words!r}")

    def test_ends_acknowledged_before_they_are_kept(self) -> None:
        self.find_without("kept", "started again after it was done")

    def test_a_takeover_that_asks_no_minion(self) -> None:
        self.find_without("looks", "runs twice")

    def test_a_registration_of_another_incarnation(self) -> None:
        self.find_without("incarnations", " requires ", {"change_kind"})

    def test_work_that_outlives_its_ownership(self) -> None:
        self.find_without(
            "scope", "token ", {"turn_successor_away", "cut_store"}
        )

    def test_runs_that_take_no_room(self) -> None:
        self.find_without("room", " tasks")
