"""Reasons to end a client's connection, counted and logged."""

import contextlib
import enum
import http
import logging
import socket
import time

from hickoryreach_entry import metrics

log = logging.getLogger(__name__)

LOG_INTERVAL_S = 1.0
RETRY_AFTER_S = 1


class Reason(enum.StrEnum):
    """Why a request was refused or its connection closed."""

    TARGET_TOO_LONG = enum.auto()
    HEAD_TOO_LARGE = enum.auto()
    BODY_TOO_LARGE = enum.auto()
    MALFORMED = enum.auto()
    TOO_SLOW = enum.auto()
    CUT_OFF = enum.auto()
    IDLE = enum.auto()
    ANSWER_NOT_TAKEN = enum.auto()
    MEMORY = enum.auto()
    CONNECTIONS = enum.auto()


STATUSES = {
    Reason.TARGET_TOO_LONG: http.HTTPStatus.REQUEST_URI_TOO_LONG,
    Reason.HEAD_TOO_LARGE: http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    Reason.BODY_TOO_LARGE: http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    Reason.MALFORMED: http.HTTPStatus.BAD_REQUEST,
    Reason.TOO_SLOW: http.HTTPStatus.REQUEST_TIMEOUT,
    Reason.MEMORY: http.HTTPStatus.SERVICE_UNAVAILABLE,
    Reason.CONNECTIONS: http.HTTPStatus.SERVICE_UNAVAILABLE,
}


class RequestRefusedError(OSError):
    """A request that is not read to its end.

    Attributes:
        reason: Why it is not.
    """

    def __init__(self, *, reason: Reason) -> None:
        """Creates the error of one request."""
        super().__init__(str(reason))
        self.reason = reason


def build_response(reason: Reason) -> bytes:
    """Returns a whole response, or nothing where the client gets none."""
    status = STATUSES.get(reason)
    if status is None:
        return b""
    lines = [
        f"HTTP/1.1 {status.value} {status.phrase}",
        "Connection: close",
        "Content-Length: 0",
    ]
    if status is http.HTTPStatus.SERVICE_UNAVAILABLE:
        lines.append(f"Retry-After: {RETRY_AFTER_S}")
    return "\r\n".join([*lines, "", ""]).encode("ascii")


def send(connected: socket.socket, reason: Reason) -> None:
    """Sends the response of a refusal, if the client takes it at once."""
    connected.settimeout(0.0)
    with contextlib.suppress(OSError):  # it has gone, or this side has closed
        connected.send(build_response(reason))


class RefusalLog:
    """Counts refusals of one listener, and logs the first in each interval.

    Attributes:
        listener: Name of the listener.
        suppressed: Refusals by reason that no line has told of yet.
    """

    def __init__(self, *, listener: str) -> None:
        """Starts without a refusal."""
        self.listener = listener
        self.suppressed: dict[Reason, int] = {}
        self.logged_at: dict[Reason, float] = {}

    def record(self, reason: Reason, address: object, detail: str = "") -> None:
        """Counts a refusal; its line tells how many went without one.

        Args:
            reason: Why the request or connection was refused.
            address: Address of the client.
            detail: What was wrong, where the reason doesn't tell.
        """
        metrics.http_refusals.labels(self.listener, str(reason)).inc()
        now = time.monotonic()
        if now - self.logged_at.get(reason, -LOG_INTERVAL_S) < LOG_INTERVAL_S:
            self.suppressed[reason] = self.suppressed.get(reason, 0) + 1
            return
        self.logged_at[reason] = now
        log.info(
            "client_refused",
            extra={
                "listener": self.listener,
                "reason": str(reason),
                "client": str(address),
                "detail": detail,
                "suppressed": self.suppressed.pop(reason, 0),
            },
        )
