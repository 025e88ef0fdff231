"""One connection to an address, which calls may be forbidden to open."""

from collections.abc import Callable
import socket

import geventhttpclient
from geventhttpclient import connectionpool

from hickoryreach import exceptions
from hickoryreach.platform import http


class _Pool(connectionpool.ConnectionPool):
    """Pool of one connection.

    Attributes:
        may_connect: Whether a connection may be opened.
    """

    may_connect = True

    def _create_socket(self) -> socket.socket:
        if not self.may_connect:
            raise exceptions.NotConnectedError("not connected")
        return super()._create_socket()

    def disconnect(self) -> None:
        """Closes the connection if it is open and not in use."""
        while not self._socket_queue.empty():
            self._socket_queue.get(block=False).close()


class _SingleConnectionClient(geventhttpclient.HTTPClient):
    """HTTP client with one connection.

    Attributes:
        pool: What opens the connection.
    """

    def __init__(self, host: str, **options: object) -> None:
        super().__init__(host, **options)
        self.pool = self._connection_pool = _Pool(
            host,
            self.port,
            host,
            self.port,
            size=1,
            connection_timeout=options["connection_timeout"],
            network_timeout=options["network_timeout"],
        )


class Connection(http.Client):
    """One connection, used by one call at a time.

    A connection ends with the process at its other end. What is sent over one
    that is open already reaches the process that has answered over it, or none.
    """

    http_class = _SingleConnectionClient

    def __init__(
        self,
        *,
        address: str,
        kind: str,
        timeout_s: float,
        headers: dict[str, str],
    ) -> None:
        """Opens no connection yet.

        Args:
            address: `host:port` to call; an IPv6 host has brackets.
            kind: Kind of the service at the address, for metrics.
            timeout_s: Time-out of each network operation within a call.
            headers: Headers of each call.
        """
        super().__init__(
            address=address,
            kind=kind,
            timeout_s=timeout_s,
            connections=1,
            headers=headers,
        )

    def call_open(
        self,
        method: str,
        path: str,
        body: object,
        *,
        may_send: Callable[[], bool] = lambda: True,
    ) -> http.CallResult:
        """Calls over the connection that is open, or else sends nothing.

        Args:
            method: HTTP method.
            path: Path with its query.
            body: What the body encodes.
            may_send: Returns whether the call is still to be sent.
        """
        self.http.pool.may_connect = False
        try:
            return self.call(method, path, body, may_send=may_send)
        finally:
            self.http.pool.may_connect = True

    def disconnect(self) -> None:
        """Closes the connection; the next call may open another one."""
        self.http.pool.disconnect()
