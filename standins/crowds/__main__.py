"""Runs one crowd against one address until its time is over.

`python -m standins.crowds KIND HOST PORT --connections 40 --seconds 10`
"""

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import resource  # noqa: E402
import socket  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

import gevent  # noqa: E402

from standins.crowds import kinds  # noqa: E402

LEAST_SECONDS = 1.0
RECONNECT_PAUSE_S = 0.1
RECEIVE_BYTES = 1
SPARE_DESCRIPTORS = 64


def parse_options() -> argparse.Namespace:
    """Returns the words of the command line."""
    parser = argparse.ArgumentParser(prog="python -m standins.crowds")
    parser.add_argument("kind", choices=sorted(kinds.kinds))
    parser.add_argument("address")
    parser.add_argument("port", type=int)
    parser.add_argument("--connections", type=int, default=40)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--host", default="a")
    parser.add_argument("--authorization", default="")
    return parser.parse_args()


def connect_forever(options: argparse.Namespace) -> None:
    """Keeps one connection, and opens it again whenever it is closed."""
    while True:
        try:
            with socket.create_connection(
                (options.address, options.port)
            ) as connection:
                send_blocks(connection, options)
        except OSError:  # refused or closed, which a crowd doesn't mind
            gevent.sleep(RECONNECT_PAUSE_S)


def send_blocks(connection: socket.socket, options: argparse.Namespace) -> None:
    """Sends all blocks of a kind, then waits until the connection ends."""
    kind = kinds.kinds[options.kind]
    target = kinds.Target(
        host=options.host, authorization=options.authorization
    )
    for block in kind.blocks(target):
        connection.sendall(block)
        gevent.sleep(kind.pause_s)
    while connection.recv(RECEIVE_BYTES):
        pass


def main() -> int:
    """Runs the crowd; returns 0 once its time is over."""
    options = parse_options()
    needed = options.connections + SPARE_DESCRIPTORS
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, needed), hard))
    ends_at = time.monotonic() + max(LEAST_SECONDS, options.seconds)
    for _ in range(options.connections):
        gevent.spawn(connect_forever, options)
    gevent.sleep(ends_at - time.monotonic())
    return 0


if __name__ == "__main__":
    sys.exit(main())
