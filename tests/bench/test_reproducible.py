"""The bench gives the same figures in every process."""

import json
import os
import subprocess
import sys
import unittest

HASH_SEEDS = ("1", "2")
SCRIPT = """
import json, sys
from bench import __main__ as main
from bench import cells
_, load, policy = sys.argv
case = main.Case(cell=cells.make_cedarline(), load=load, policy=policy)
row = main.run_case(case, main.SEED).row
kept = ("wait_p99_ms", "packing_ratio", "share_distance", "placements")
print(json.dumps([getattr(row, name) for name in kept]))
"""


def run_case(load: str, policy: str, hash_seed: str) -> list:
    """Returns the figures of one run under one order of sets."""
    done = subprocess.run(
        [sys.executable, "-c", SCRIPT, load, policy],
        env={**os.environ, "PYTHONHASHSEED": hash_seed},
        capture_output=True,
        text=True,
        check=True,
    )
    return json.loads(done.stdout)


class ReproducibleTest(unittest.TestCase):
    """Figures that do not depend on the order of sets."""

    def check(self, policy: str) -> None:
        """Compares the figures under two orders of sets."""
        first, second = (
            run_case("rack_lost", policy, seed) for seed in HASH_SEEDS
        )
        self.assertEqual(first, second)

    def test_baseline_after_a_lost_rack(self):
        self.check("fifo_first_fit")

    def test_decisions_after_a_lost_rack(self):
        self.check("hickoryreach")


if __name__ == "__main__":
    unittest.main()
