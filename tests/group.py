"""Runs the test classes named on the command line; prints the outcome."""

import dataclasses
import io
import json
import sys

from tests import results


def main() -> None:
    """Prints one JSON object as the last line."""
    printed = io.StringIO()
    outcome = results.run_classes(sys.argv[1:], printed)
    outcome.report = printed.getvalue()
    print(json.dumps(dataclasses.asdict(outcome)))


if __name__ == "__main__":
    main()
