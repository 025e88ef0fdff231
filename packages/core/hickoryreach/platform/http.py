"""HTTP client for JSON bodies over persistent connections."""

from collections.abc import Callable
import dataclasses
import http.client
import logging
import time
from typing import Any

from gevent import lock
import orjson
import prometheus_client
from returns import result

from hickoryreach import exceptions
from hickoryreach.platform import pools

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 0.6
BLOCK_BYTES = 65_536
OK = 200
NOT_FOUND = 404
CONFLICT = 409
GONE = 410
PRECONDITION_FAILED = 412
MISDIRECTED = 421
TOO_MANY = 429
UNAVAILABLE = 503

calls = prometheus_client.Counter(
    "hickoryreach_platform_calls",
    "Calls to the platform, its minions and its advice service",
    ["kind", "result"],
)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallFailure:
    """A call without a usable response.

    Attributes:
        reason: What went wrong, for logs.
        effect_unknown: Whether the call may have been executed, or may
            still be.
        not_connected: Whether it was not sent for want of an open connection.
    """

    reason: str
    effect_unknown: bool
    not_connected: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Answer:
    """An HTTP response that was read completely.

    Attributes:
        status: HTTP status.
        body: Decoded body, or None if it is empty or not JSON.
    """

    status: int
    body: Any


CallResult = result.Result[Answer, CallFailure]


class Health:
    """Health of a remote address, which several clients may share.

    Attributes:
        answered_at: Monotonic time, in s, of the last response.
        failing_since: Monotonic time, in s, at which the first call that has
            failed since that response was sent; 0 if none has.
    """

    def __init__(self) -> None:
        """Creates the health of an address that has not been called yet."""
        self.answered_at = 0.0
        self.failing_since = 0.0

    def record_answer(self) -> None:
        """Records a response to a call."""
        self.answered_at = time.monotonic()
        self.failing_since = 0.0

    def record_failure(self, sent_at: float) -> None:
        """Records a call that failed or was rejected as overload.

        Args:
            sent_at: Monotonic time, in s, at which the call was sent.
        """
        if not self.failing_since:
            self.failing_since = max(sent_at, self.answered_at)


class Client:
    """HTTP client of one address.

    Attributes:
        address: `host:port` to call.
        kind: Kind of the service at the address, for metrics.
        health: Health of the address as seen from this process.
        closed: Whether no further call is sent.
    """

    def __init__(
        self,
        *,
        address: str,
        kind: str,
        timeout_s: float,
        connections: int,
        headers: dict[str, str] | None = None,
        health: Health | None = None,
    ) -> None:
        """Creates a client without opening a connection.

        Args:
            address: `host:port` to call; an IPv6 host has brackets.
            kind: Kind of the service at the address, for metrics.
            timeout_s: Time-out of each network operation within a call.
            connections: Maximum number of concurrent calls; further calls
                wait for a connection.
            headers: Headers of each call.
            health: Health to share with other clients; None creates one.
        """
        host, port = address.rsplit(":", 1)
        self.address = address
        self.kind = kind
        self.health = health or Health()
        self.closed = False
        self.connections = connections
        # The pool of connections never wakes calls that wait when it closes.
        self.free_connections = lock.Semaphore(connections)
        self.http = pools.PooledClient(
            host.strip("[]"),
            port=int(port),
            concurrency=connections,
            connection_timeout=min(CONNECT_TIMEOUT_S, timeout_s),
            network_timeout=timeout_s,
            block_size=BLOCK_BYTES,
            headers=dict(headers or {}),
        )

    def call(
        self,
        method: str,
        path: str,
        body: object = None,
        *,
        may_send: Callable[[], bool] = lambda: True,
    ) -> CallResult:
        """Sends one request and reads the whole response.

        A call of a closed client fails and is not sent.

        Args:
            method: HTTP method.
            path: Path with its query.
            body: What the body encodes, or None without one.
            may_send: Returns whether the call is still to be sent, once there
                is a connection for it.
        """
        self.free_connections.acquire()
        try:
            if self.closed:
                return self._build_failure("client closed", is_sent=False)
            if not may_send():
                return self._build_failure("withdrawn", is_sent=False)
            return self._send(method, path, body)
        finally:
            self.free_connections.release()
            self._close_unused()

    def _send(self, method: str, path: str, body: object) -> CallResult:
        """Sends one request over a connection that is free."""
        payload = b"" if body is None else orjson.dumps(body)
        headers = {"Content-Type": "application/json"} if payload else {}
        sent_at = time.monotonic()
        try:
            response = self.http.request(
                method, path, body=payload, headers=headers
            )
            status = response.status_code
            data = bytes(response.read())
        except exceptions.NotConnectedError as error:
            return result.Failure(
                CallFailure(
                    reason=str(error), effect_unknown=False, not_connected=True
                )
            )
        except (OSError, ValueError, http.client.HTTPException) as error:
            self.health.record_failure(sent_at)
            return self._record_failure(error)
        calls.labels(self.kind, str(status)).inc()
        if status in (TOO_MANY, UNAVAILABLE):
            self.health.record_failure(sent_at)
        else:
            self.health.record_answer()
        return result.Success(Answer(status=status, body=_decode_body(data)))

    def _record_failure(self, error: Exception) -> CallResult:
        return self._build_failure(
            str(error) or type(error).__name__,
            is_sent=not isinstance(error, ConnectionRefusedError),
        )

    def _build_failure(self, reason: str, *, is_sent: bool) -> CallResult:
        calls.labels(self.kind, "failed").inc()
        return result.Failure(
            CallFailure(reason=reason, effect_unknown=is_sent)
        )

    def close(self) -> None:
        """Sends no further call; closes all connections once none is used."""
        self.closed = True
        self._close_unused()

    def _close_unused(self) -> None:
        if self.closed and self.free_connections.counter == self.connections:
            self.http.close()


def _decode_body(data: bytes) -> Any:
    if not data:
        return None
    try:
        return orjson.loads(data)
    except ValueError as error:
        log.warning(
            "answer_undecodable",
            extra={"error": str(error), "size": len(data)},
        )
        return None
