"""Starts an entry from a checkout, with its libraries under target/deps.

Only the command that the deployment runs is loaded, for a quick start.
"""

from gevent import monkey

monkey.patch_all()

import pathlib  # noqa: E402
import sys  # noqa: E402

import cleo.application  # noqa: E402

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "packages" / name) for name in ("core", "entry")]

from hickoryreach_entry import cell_console  # noqa: E402


def main() -> int:
    """Runs the command line."""
    application = cleo.application.Application("hickoryreach-entry", "0.1.0")
    application.add(cell_console.CellCommand())
    return application.run()


if __name__ == "__main__":
    sys.exit(main())
