"""One connection to an address, which calls may be forbidden to open."""

from collections.abc import Callable

from hickoryreach.platform import http


class Connection(http.Client):
    """One connection, used by one call at a time.

    A connection ends with the process at its other end. What is sent over one
    that is open already reaches the process that has answered over it, or none.
    """

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
