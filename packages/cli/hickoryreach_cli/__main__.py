"""Command line of hickoryreach for operators and callers."""

import sys

from hickoryreach_cli import application


def main() -> int:
    """Runs the command line."""
    return application.Application().run()


if __name__ == "__main__":
    sys.exit(main())
