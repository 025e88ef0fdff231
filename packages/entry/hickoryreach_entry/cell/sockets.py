"""Listening socket for callers, opened before the program is loaded.

Connections that arrive while the process starts wait in the backlog. Without
it, they would be refused until the libraries are loaded whenever all machines
restart at once.
"""

import socket

from hickoryreach.platform import listen_address

BACKLOG = 1_024


def open_front(path: str) -> int | None:
    """Opens the socket at the address in the settings file.

    Args:
        path: The platform's settings file.

    Returns:
        The descriptor of the listening socket, or None if the file gives no
        address or the address can't be listened at.
    """
    address = listen_address.read_front_address(path)
    if address is None:
        return None
    try:
        return socket.create_server(address, backlog=BACKLOG).detach()
    except OSError:
        return None


def wrap_descriptor(descriptor: int | None) -> socket.socket | None:
    """Returns the socket of a descriptor, cooperative once gevent is patched.

    Args:
        descriptor: A listening socket's descriptor, or None.
    """
    if descriptor is None:
        return None
    return socket.socket(fileno=descriptor)
