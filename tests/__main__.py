"""Runs every test and prints the closing line that CI reads."""

from concurrent import futures
import json
import subprocess
import sys
import unittest

from tests import known_red
from tests import results
from tests import suites

GROUPS_AT_ONCE = 3


def main() -> int:
    """Returns 0 unless a test failed that KNOWN-RED.txt does not list."""
    suite = unittest.defaultTestLoader.discover("tests", top_level_dir=".")
    names = sorted(
        {suites.name_class(case) for case in suites.get_cases(suite)}
    )
    with futures.ThreadPoolExecutor(GROUPS_AT_ONCE) as pool:
        outcomes = list(pool.map(run_group, suites.get_groups(names)))
    outcomes += map(run_group, suites.get_lone_groups(names))
    for outcome in outcomes:
        print_outcome(outcome)
    return close(outcomes)


def run_group(names: list[str]) -> results.Outcome:
    """Runs one group in a process of its own."""
    done = subprocess.run(
        [sys.executable, "-m", "tests.group", *names],
        capture_output=True,
        text=True,
        check=False,
    )
    try:
        return results.Outcome(**json.loads(done.stdout.splitlines()[-1]))
    except (IndexError, ValueError, TypeError):
        report = done.stdout + done.stderr
        return results.Outcome(names=names, red=names, report=report)


def print_outcome(outcome: results.Outcome) -> None:
    """Prints a line for a group, and its report if something failed."""
    label = outcome.names[0]
    if len(outcome.names) > 1:
        label = f"{label} and {len(outcome.names) - 1} more"
    print(f"{outcome.seconds:7.1f} s {outcome.passed:4} passed  {label}")
    if outcome.red:
        print(outcome.report)


def close(outcomes: list[results.Outcome]) -> int:
    """Prints the closing line and returns the exit code."""
    listed = known_red.get_known_red()
    red = [name for outcome in outcomes for name in outcome.red]
    unlisted = sorted({name for name in red if name not in listed})
    known = sorted({name for name in red if name in listed})
    for name in unlisted:
        print(f"failed: {name}")
    for name in known:
        print(f"known red: {name}")
    passed = sum(outcome.passed for outcome in outcomes)
    skipped = sum(outcome.skipped for outcome in outcomes) + len(known)
    print(f"{passed} passed, {len(unlisted)} failed, {skipped} skipped")
    return 1 if unlisted or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
