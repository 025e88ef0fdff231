"""Reads requests from a connection within limits of size and time."""

import enum
import io
import time

import gevent

from hickoryreach.config import client_limits
from hickoryreach_entry import http_connections
from hickoryreach_entry import http_refusals

BUFFER_BYTES = io.DEFAULT_BUFFER_SIZE
STEPS_AT_ONCE = 4
FRAMING_FACTOR = 8  # a chunk of one byte takes six


class Phase(enum.Enum):
    """Part of a request that is being read."""

    REQUEST_LINE = enum.auto()
    HEADERS = enum.auto()
    BODY = enum.auto()


TOO_LARGE = {
    Phase.REQUEST_LINE: http_refusals.Reason.TARGET_TOO_LONG,
    Phase.HEADERS: http_refusals.Reason.HEAD_TOO_LARGE,
    Phase.BODY: http_refusals.Reason.BODY_TOO_LARGE,
}


class RequestReader(io.RawIOBase):
    """Raw stream of the requests of one connection.

    Limits are checked for each read from the socket, not for each line. The
    limit of a head is exceeded by what one read may bring beyond its end.

    Attributes:
        phase: Part of a request that is being read.
        iteration: Pass of the event loop in which steps were last counted.
        steps: Reads, and begun requests, in that pass.
        received: Bytes read of the present part.
        limit_bytes: Most bytes of it.
        deadline: When it must be there, on the monotonic clock in s.
        refusal: Why the present request is not read to its end, or None.
    """

    def __init__(
        self,
        *,
        connection: http_connections.Connection,
        share: http_connections.ClientShare,
        limits: client_limits.ClientLimits,
    ) -> None:
        """Creates a reader that has read nothing."""
        super().__init__()
        self.connection = connection
        self.share = share
        self.limits = limits
        self.loop = gevent.get_hub().loop
        self.iteration = -1
        self.steps = 0
        self.refusal: http_refusals.Reason | None = None
        self.phase = Phase.REQUEST_LINE
        self.is_chunked = False
        self.received = 0
        self.limit_bytes = 0
        self.deadline = 0.0

    def readable(self) -> bool:
        """Returns that this stream can be read."""
        return True

    def begin_request(self) -> None:
        """Forgets the request before, and waits for the next one."""
        self.share.release(self.connection)
        self.connection.activity = http_connections.Activity.WAITING
        self.phase = Phase.REQUEST_LINE
        self.is_chunked = False
        self.received = 0
        self.limit_bytes = self.limits.max_head_bytes + BUFFER_BYTES
        self.deadline = time.monotonic() + self.limits.idle_timeout_s
        self.take_step()

    def begin_headers(self) -> None:
        """Goes on to the header lines."""
        self.phase = Phase.HEADERS
        self.connection.activity = http_connections.Activity.READING
        if not self.received:
            self.deadline = time.monotonic() + self.limits.head_timeout_s

    def begin_body(self, max_body_bytes: int, *, is_chunked: bool) -> None:
        """Goes on to the body, with its limit in bytes.

        The limit here leaves room for framing, and for a body that is too
        large to be read to its end, so that its sender gets the answer.
        """
        self.phase = Phase.BODY
        self.is_chunked = is_chunked
        self.received = 0
        self.limit_bytes = (
            FRAMING_FACTOR * max_body_bytes + self.limits.max_head_bytes
        )
        self.deadline = time.monotonic() + self.limits.body_timeout_s
        if is_chunked:
            self.share.turns.take(self.connection)

    def take_step(self) -> None:
        """Lets others run after some steps without a wait."""
        if self.loop.iteration != self.iteration:
            self.iteration = self.loop.iteration
            self.steps = 0
        self.steps += 1
        if self.is_chunked or self.steps > STEPS_AT_ONCE:
            self.share.turns.take(self.connection)
            self.iteration = self.loop.iteration
            self.steps = STEPS_AT_ONCE

    def readinto(self, buffer: memoryview) -> int:
        """Reads what has arrived, or waits for it; returns how many bytes.

        Raises:
            RequestRefusedError: The request exceeds a limit or was cut off.
            OSError: The connection is broken.
        """
        if self.refusal is not None:
            raise http_refusals.RequestRefusedError(reason=self.refusal)
        activity = self.connection.activity
        if self.phase is not Phase.REQUEST_LINE:
            self.connection.activity = http_connections.Activity.READING
        try:
            self.take_step()
            count = self.receive(buffer)
            self.account(count)
        except http_refusals.RequestRefusedError as error:
            self.refusal = error.reason
            raise
        finally:
            if self.phase is Phase.BODY:
                self.connection.activity = activity
        return count

    def receive(self, buffer: memoryview) -> int:
        """Waits for bytes until the deadline of the phase."""
        connected = self.connection.socket
        connected.settimeout(max(0.0, self.deadline - time.monotonic()))
        try:
            return connected.recv_into(buffer)
        except (TimeoutError, BlockingIOError) as error:
            is_idle = self.phase is Phase.REQUEST_LINE and not self.received
            raise http_refusals.RequestRefusedError(
                reason=http_refusals.Reason.IDLE
                if is_idle
                else http_refusals.Reason.TOO_SLOW
            ) from error

    def account(self, count: int) -> None:
        """Checks the limits after a read."""
        if not count and self.phase is Phase.HEADERS:
            raise http_refusals.RequestRefusedError(
                reason=http_refusals.Reason.CUT_OFF
            )
        if count and not self.received and self.phase is Phase.REQUEST_LINE:
            self.deadline = time.monotonic() + self.limits.head_timeout_s
            self.connection.activity = http_connections.Activity.READING
        self.received += count
        if self.received > self.limit_bytes:
            raise http_refusals.RequestRefusedError(
                reason=TOO_LARGE[self.phase]
            )
        self.share.hold(self.connection, count)
