"""Tests of the comparison of scores."""

import json
import pathlib
import tempfile
import unittest

from bench import regression


def build_day(name: str, slot: str, worth: float, gate: bool = True) -> dict:
    """Returns a day as a journal entry has it."""
    return {"name": name, "slot": slot, "G": worth, "gate": gate}


class RegressionTest(unittest.TestCase):
    """A journal with scores of two deployments."""

    def setUp(self) -> None:
        """Creates an empty journal."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def add(self, number: int, **changes) -> None:
        """Adds an entry to the journal."""
        entry = {
            "id": f"e{number}",
            "at": ["", ""],
            "cmd": "score",
            "argv": [],
            "site": "hydro",
            "score": 0.5,
            "days": [
                build_day("quiet-1", "quiet", 0.9),
                build_day("trouble-1", "trouble", 0.4),
                build_day("scale-1", "scale", 0.6),
                build_day("fresh-1", "trouble", 0.1),
            ],
        } | changes
        path = self.folder / f"{number:03}.json"
        path.write_text(json.dumps(entry))

    def read(self) -> list:
        """Returns the pairs of scores."""
        entries = regression.read_entries(self.folder)
        return list(regression.pair_up(map(regression.summarize, entries)))

    def test_the_last_two_scores_are_compared(self) -> None:
        for number, score in enumerate((0.3, 0.4, 0.5)):
            self.add(number, score=score)
        ((before, after),) = self.read()
        self.assertEqual((before.score, after.score), (0.4, 0.5))

    def test_partial_scores_and_other_entries_are_left_out(self) -> None:
        self.add(0, argv=["--quick"])
        self.add(1, cmd="hunt", score=None)
        self.add(2, score=None)
        self.assertEqual(self.read(), [])

    def test_a_drawn_day_counts_for_the_gate_alone(self) -> None:
        self.add(0, days=[build_day("quiet-1", "quiet", 0.9)])
        drawn = build_day("fresh-1", "trouble", 0.1, gate=False)
        self.add(1, days=[build_day("trouble-1", "trouble", 0.4), drawn])
        ((_, after),) = self.read()
        self.assertFalse(after.gate)
        self.assertEqual((after.troubled, after.worst), (0.4, 0.4))

    def test_mean_worth_leaves_out_the_quiet_day(self) -> None:
        self.add(0)
        ((before, after),) = self.read()
        self.assertIsNone(before)
        self.assertAlmostEqual(after.troubled, 0.5)
