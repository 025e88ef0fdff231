"""Starts an entry from a checkout, with its libraries under target/deps.

To start quickly, it imports only the modules that the deployment runs. The
socket for callers is opened before most imports, so that callers who connect
during the start wait instead of being refused.
"""

import gc
import os
import signal
import sys

gc.disable()  # imports leave no garbage; garbage.set_up enables it
ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path += [os.path.join(ROOT, "packages", name) for name in ("core", "entry")]

from hickoryreach_entry.cell import sockets  # noqa: E402

TERMINATED = []
signal.signal(signal.SIGTERM, lambda number, frame: TERMINATED.append(number))
signal.signal(signal.SIGHUP, signal.SIG_IGN)  # settings are not loaded yet
PATH = os.environ.get("HICKORYREACH_CONFIG", "")
FRONT = sockets.open_front(PATH)

from gevent import monkey  # noqa: E402

monkey.patch_all()

from returns import result  # noqa: E402

from hickoryreach_entry import logs  # noqa: E402
from hickoryreach_entry.commands import cell  # noqa: E402

USAGE_ERROR = 2


def main() -> int:
    """Serves one entry until SIGTERM and returns the exit status."""
    logs.set_up("INFO")
    served = cell.serve(
        PATH,
        front=sockets.wrap_descriptor(FRONT),
        is_terminated=lambda: bool(TERMINATED),
    )
    if isinstance(served, result.Failure):
        print(f"HICKORYREACH_CONFIG: {served.failure()}", file=sys.stderr)
        return USAGE_ERROR
    return 0


if __name__ == "__main__":
    sys.exit(main())
