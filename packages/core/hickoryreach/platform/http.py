"""HTTP calls with JSON bodies over kept connections."""

import dataclasses
import http.client
import logging
import time
from typing import Any

import geventhttpclient
import orjson
import prometheus_client
from returns import result

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
    """A call without a usable answer.

    Attributes:
        reason: What went wrong, for logs.
        effect_unknown: Whether the call may have been carried out, or may
            still be.
    """

    reason: str
    effect_unknown: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Answer:
    """An answer, read whole and decoded.

    Attributes:
        status: HTTP status.
        body: Decoded body, or None if it is empty or not JSON.
    """

    status: int
    body: Any


Called = result.Result[Answer, CallFailure]


class Health:
    """Whether the other side serves this machine; several clients may share it.

    Attributes:
        answered_at: When it last answered a call, on the steady clock in s.
        failing_since: When the first of the calls that failed since then was
            sent, in s; 0 while none has.
    """

    def __init__(self) -> None:
        """Creates the health of a side that was not called yet."""
        self.answered_at = 0.0
        self.failing_since = 0.0

    def note_answer(self) -> None:
        """Notes that a call was answered."""
        self.answered_at = time.monotonic()
        self.failing_since = 0.0

    def note_failure(self, sent_at: float) -> None:
        """Notes that a call failed or was turned away."""
        if not self.failing_since:
            self.failing_since = max(sent_at, self.answered_at)


class Client:
    """Calls to one address.

    Attributes:
        address: `host:port` of the other side.
        kind: What the other side is, for metrics.
        health: Whether the other side serves this machine.
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
        """Creates a client; opens no connection yet.

        Args:
            address: `host:port` of the other side.
            kind: What the other side is, for metrics.
            timeout_s: Longest silence of the other side within a call.
            connections: Most calls at once; more wait for a connection.
            headers: Sent with each call.
            health: Health that this client shares with others, or None.
        """
        host, port = address.rsplit(":", 1)
        self.address = address
        self.kind = kind
        self.health = health or Health()
        self.http = geventhttpclient.HTTPClient(
            host,
            port=int(port),
            concurrency=connections,
            connection_timeout=min(CONNECT_TIMEOUT_S, timeout_s),
            network_timeout=timeout_s,
            block_size=BLOCK_BYTES,
            headers=dict(headers or {}),
        )

    def call(self, method: str, path: str, body: object = None) -> Called:
        """Makes one call and reads its answer whole."""
        payload = b"" if body is None else orjson.dumps(body)
        headers = {"Content-Type": "application/json"} if payload else {}
        sent_at = time.monotonic()
        try:
            response = self.http.request(
                method, path, body=payload, headers=headers
            )
            status = response.status_code
            data = bytes(response.read())
        except (OSError, ValueError, http.client.HTTPException) as error:
            self.health.note_failure(sent_at)
            return self._fail(error)
        calls.labels(self.kind, str(status)).inc()
        if status in (TOO_MANY, UNAVAILABLE):
            self.health.note_failure(sent_at)
        else:
            self.health.note_answer()
        return result.Success(Answer(status=status, body=_decode(data)))

    def _fail(self, error: Exception) -> Called:
        reason = str(error) or type(error).__name__
        calls.labels(self.kind, "failed").inc()
        return result.Failure(
            CallFailure(
                reason=reason,
                effect_unknown=not isinstance(error, ConnectionRefusedError),
            )
        )

    def close(self) -> None:
        """Closes the kept connections."""
        self.http.close()


def _decode(data: bytes) -> Any:
    if not data:
        return None
    try:
        return orjson.loads(data)
    except ValueError as error:
        log.warning(
            "answer_undecodable", extra={"error": str(error), "size": len(data)}
        )
        return None
