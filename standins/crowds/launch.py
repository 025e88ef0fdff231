"""Starts crowds as processes of their own."""

import subprocess
import sys

from standins.users import cell
from standins.users import platform


def start(
    kind: str,
    entry: cell.Entry,
    *,
    connections: int,
    seconds: float,
    port: int = cell.FRONT_PORT,
) -> subprocess.Popen:
    """Starts a crowd against one port of an entry; it ends by itself.

    Args:
        kind: Name of the kind of crowd.
        entry: The entry that it connects to.
        connections: Connections at a time.
        seconds: When the crowd ends.
        port: Port of the entry.
    """
    return subprocess.Popen(
        [
            *(sys.executable, "-m", "standins.crowds", kind),
            *(entry.host, str(port)),
            *("--connections", str(connections)),
            *("--seconds", str(seconds)),
            *("--host", platform.HOST),
            *("--authorization", f"Token {platform.KEY}"),
        ]
    )


def end(crowd: subprocess.Popen) -> None:
    """Ends a crowd, if it hasn't ended yet."""
    if crowd.poll() is None:
        crowd.kill()
    crowd.wait()
