"""Starts an entry from a checkout, with its libraries under target/deps."""

import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "packages" / name) for name in ("core", "entry")]

from hickoryreach_entry import __main__  # noqa: E402

if __name__ == "__main__":
    sys.exit(__main__.main())
