"""The socket for callers, opened before the rest of the program is loaded.

Callers that connect while the process starts wait for it. Without that, a
loss of every machine turns them away until the libraries are loaded.
"""

import socket

from hickoryreach.platform import listen_address

BACKLOG = 1_024


def open_front(path: str) -> int | None:
    """Returns a descriptor that listens, or None where there is none yet."""
    address = listen_address.read_front_address(path)
    if address is None:
        return None
    try:
        return socket.create_server(address, backlog=BACKLOG).detach()
    except OSError:
        return None


def wrap_descriptor(descriptor: int | None) -> socket.socket | None:
    """Returns the socket of a descriptor, with the sockets of gevent."""
    if descriptor is None:
        return None
    return socket.socket(fileno=descriptor)
