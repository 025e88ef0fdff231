"""Counts what a run of tests gave."""

import dataclasses
import time
import unittest


@dataclasses.dataclass(kw_only=True)
class Outcome:
    """What a group of tests gave.

    Attributes:
        names: Classes of the group.
        passed: Tests that passed.
        skipped: Tests that were skipped.
        red: Dotted names of tests that did not pass.
        report: What the runner printed.
        seconds: Duration of the group, in s.
    """

    names: list[str]
    passed: int = 0
    skipped: int = 0
    red: list[str] = dataclasses.field(default_factory=list)
    report: str = ""
    seconds: float = 0.0


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


def run_classes(names: list[str], stream) -> Outcome:
    """Runs test classes in this process.

    Args:
        names: Dotted names of the classes.
        stream: Where the runner prints.
    """
    started = time.monotonic()
    suite = unittest.defaultTestLoader.loadTestsFromNames(names)
    runner = unittest.TextTestRunner(
        stream=stream, resultclass=Result, buffer=True
    )
    outcome = runner.run(suite)
    failed = [test for test, _ in outcome.failures + outcome.errors]
    failed += outcome.unexpectedSuccesses
    return Outcome(
        names=names,
        passed=outcome.passed,
        skipped=len(outcome.skipped),
        red=[getattr(test, "test_case", test).id() for test in failed],
        seconds=time.monotonic() - started,
    )
