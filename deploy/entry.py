"""Starts an entry from a checkout, with its libraries under target/deps.

Only what the deployment runs is loaded, for a quick start, and callers may
connect before it is.
"""

from gevent import monkey

monkey.patch_all()

import os  # noqa: E402
import pathlib  # noqa: E402
import sys  # noqa: E402

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "packages" / name) for name in ("core", "entry")]

from hickoryreach_entry.cell import sockets  # noqa: E402

PATH = os.environ.get("HICKORYREACH_CONFIG", "")
FRONT = sockets.open_front(PATH)

from returns import result  # noqa: E402

from hickoryreach_entry import logs  # noqa: E402
from hickoryreach_entry.commands import cell  # noqa: E402

USAGE_ERROR = 2


def main() -> int:
    """Serves one entry until SIGTERM."""
    logs.set_up("INFO")
    served = cell.serve(PATH, front=FRONT)
    if isinstance(served, result.Failure):
        print(f"HICKORYREACH_CONFIG: {served.failure()}", file=sys.stderr)
        return USAGE_ERROR
    return 0


if __name__ == "__main__":
    sys.exit(main())
