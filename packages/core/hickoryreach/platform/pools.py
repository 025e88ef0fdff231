"""Pools of connections to one address."""

import select
import socket

from gevent import monkey
import geventhttpclient
from geventhttpclient import connectionpool

from hickoryreach import exceptions

poll = monkey.get_original("select", "poll")


class Pool(connectionpool.ConnectionPool):
    """Pool that may be forbidden to open connections.

    Attributes:
        may_connect: Whether a connection may be opened.
    """

    may_connect = True

    def _create_socket(self) -> socket.socket:
        if not self.may_connect:
            raise exceptions.NotConnectedError("not connected")
        return super()._create_socket()

    def _is_socket_alive(self, sock: socket.socket) -> bool:
        """Returns whether an unused connection is open.

        The library asks `select`, which takes no descriptor from 1,024 on.
        """
        if sock.fileno() < 0:
            return False
        poller = poll()
        poller.register(sock.fileno(), select.POLLIN)
        return not poller.poll(0)

    def disconnect(self) -> None:
        """Closes the connections that are open and not in use."""
        while not self._socket_queue.empty():
            self._socket_queue.get(block=False).close()


class PooledClient(geventhttpclient.HTTPClient):
    """HTTP client with a pool of this kind.

    Attributes:
        pool: The pool.
    """

    def __init__(
        self,
        host: str,
        *,
        concurrency: int,
        connection_timeout: float,
        network_timeout: float,
        **options: object,
    ) -> None:
        """Opens no connection yet; the arguments are the library's."""
        super().__init__(host, concurrency=concurrency, **options)
        self.pool = self._connection_pool = Pool(
            host,
            self.port,
            host,
            self.port,
            size=concurrency,
            connection_timeout=connection_timeout,
            network_timeout=network_timeout,
        )
