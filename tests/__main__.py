"""Runs every test and prints the closing line that CI reads."""

import sys
import unittest

from tests import known_red


class Result(unittest.TextTestResult):
    """Counts passes, which unittest leaves out.

    Attributes:
        passed: Tests that passed.
    """

    def __init__(self, *args, **kwargs) -> None:
        """Creates an empty result."""
        super().__init__(*args, **kwargs)
        self.passed = 0

    def addSuccess(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Counts a test that passed."""
        super().addSuccess(test)
        self.passed += 1


def main() -> int:
    """Returns 0 unless a test failed that KNOWN-RED.txt does not list."""
    suite = unittest.defaultTestLoader.discover("tests", top_level_dir=".")
    runner = unittest.TextTestRunner(resultclass=Result, buffer=True)
    outcome = runner.run(suite)
    listed = known_red.get_known_red()
    red = [test.id() for test, _ in outcome.failures + outcome.errors]
    red += [test.id() for test in outcome.unexpectedSuccesses]
    unlisted = [name for name in red if name not in listed]
    for name in red:
        if name in listed:
            print(f"known red: {name}")
    print(
        f"{outcome.passed} passed, {len(unlisted)} failed, "
        f"{len(outcome.skipped) + len(red) - len(unlisted)} skipped"
    )
    return 1 if unlisted or not outcome.passed else 0


if __name__ == "__main__":
    sys.exit(main())
