"""Free ports of loopback, in a block that each process has to itself."""

import fcntl
import functools
import itertools
import pathlib
import socket
import tempfile

FIRST_PORT = 10_000
PORT_BLOCKS = 100
PORTS_PER_BLOCK = 200

searched = itertools.count()


@functools.cache
def lock_block() -> tuple[int, object]:
    """Returns the first port of a block, and the lock this process holds.

    Raises:
        RuntimeError: Every block is held by another process.
    """
    folder = pathlib.Path(tempfile.gettempdir())
    for block in range(PORT_BLOCKS):
        lock = (folder / f"hickoryreach-ports-{block}.lock").open("w")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            lock.close()
            continue
        return FIRST_PORT + block * PORTS_PER_BLOCK, lock
    raise RuntimeError("every block of ports is taken")


def find_port() -> int:
    """Returns a free port out of this process's own block."""
    first, _ = lock_block()
    while True:
        port = first + next(searched) % PORTS_PER_BLOCK
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port
