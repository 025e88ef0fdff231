"""The socket for callers, opened before the rest of the program is loaded.

Callers that connect while the process starts wait for it. Without that, a
loss of every machine turns them away until the libraries are loaded.
"""

import socket

from hickoryreach.platform import listening

BACKLOG = 1_024


def open_front(path: str) -> socket.socket | None:
    """Returns a listening socket, or None where the server must open it."""
    address = listening.read_front(path)
    if address is None:
        return None
    try:
        return socket.create_server(address, backlog=BACKLOG)
    except OSError:
        return None
