"""Startup and signals of an entry on the users' platform."""

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
    """Serves an entry until it is drained after a SIGTERM or SIGINT.

    Args:
        path: Path of the platform's settings file.
        front: Listening socket for callers, or None to open one.
        is_terminated: Returns whether a SIGTERM arrived before this call.

    Returns:
        Nothing, or what is wrong with the settings file.
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
