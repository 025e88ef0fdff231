"""Serves one entry on the users' platform."""

from collections.abc import Callable
import signal
import socket

import gevent
from returns import result

from hickoryreach.platform import node
from hickoryreach_entry import garbage
from hickoryreach_entry.cell import server


def serve(
    path: str,
    front: socket.socket | None = None,
    is_terminated: Callable[[], bool] = lambda: False,
) -> result.Result[None, str]:
    """Serves until a SIGTERM has been drained, or returns what is wrong.

    Args:
        path: The platform's settings file.
        front: Open socket for callers, or None to open one.
        is_terminated: Tells whether a SIGTERM came before this call.
    """
    loaded = node.load(path)
    if isinstance(loaded, result.Failure):
        return loaded
    entry = server.CellServer(settings=loaded.unwrap(), path=path, front=front)
    gevent.signal_handler(signal.SIGTERM, gevent.spawn, entry.drain)
    gevent.signal_handler(signal.SIGINT, gevent.spawn, entry.drain)
    gevent.signal_handler(signal.SIGHUP, gevent.spawn, entry.reload)
    if is_terminated():
        gevent.spawn(entry.drain)
    garbage.set_up()
    entry.run()
    return result.Success(None)
