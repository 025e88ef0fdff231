"""Sends requests to minions and reads their answers whole."""

import dataclasses
import errno
import http.client
import time

import gevent
from gevent import lock
import geventhttpclient
from geventhttpclient import response as http_response

from hickoryreach.structure import jobs
from hickoryreach.wire import messages

DEFAULT_TIMEOUT_S = 30.0
CONNECT_TIMEOUT_S = 1.0
STALE_TERM_STATUS = 409
FULL_STATUS = 503
ANSWER_LIMIT_BYTES = 32_000_000
READ_BYTES = 65_536
UNREACHABLE = (errno.EHOSTUNREACH, errno.ENETUNREACH)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Answer:
    """How one dispatch ended.

    Attributes:
        result: Whether the request was executed.
        status: HTTP status of the minion, or 0.
        body: The whole body.
        run_ms: Time from sending to the last byte, in ms.
        reason: Cause when there is no whole answer.
    """

    result: jobs.TaskResult
    status: int = 0
    body: bytes = b""
    run_ms: int = 0
    reason: str = ""


class HalfAnswerError(ValueError):
    """The end of an answer can't be told from a cut connection."""


def not_run(reason: str) -> Answer:
    """Returns the answer for a request that was never sent."""
    return Answer(result=jobs.TaskResult.NOT_RUN, reason=reason)


def unknown(reason: str) -> Answer:
    """Returns the answer for a request that may have been executed."""
    return Answer(result=jobs.TaskResult.UNKNOWN, reason=reason)


class Minion:
    """Connections to one minion, within this entry's part of them.

    Attributes:
        address: `host:port` of the minion.
        connections: Most connections at a time.
    """

    def __init__(self, *, address: str, connections: int) -> None:
        """Creates a client; opens no connection yet."""
        host, port = address.rsplit(":", 1)
        self.address = address
        self.connections = connections
        self.free = lock.BoundedSemaphore(connections)
        self.http = geventhttpclient.HTTPClient(
            host,
            port=int(port),
            concurrency=connections,
            connection_timeout=CONNECT_TIMEOUT_S,
            network_timeout=3600.0,
        )


class Minions:
    """Clients of every minion this entry was sent to.

    Attributes:
        known: Clients by address.
    """

    def __init__(self) -> None:
        """Creates an empty set."""
        self.known: dict[str, Minion] = {}

    def find(self, address: str, connections: int) -> Minion:
        """Returns the client of a minion, with its part of connections."""
        minion = self.known.get(address)
        if minion is None or (minion.connections != connections > 0):
            minion = Minion(address=address, connections=max(1, connections))
            self.known[address] = minion
        return minion

    def send(
        self,
        job: jobs.Job,
        body: bytes,
        dispatch: messages.Dispatch,
        received: float,
    ) -> Answer:
        """Sends a request; a half answer counts as none.

        Args:
            job: The request.
            body: Its body.
            dispatch: Where to send it, and for how long that holds.
            received: When the dispatch came, in s.
        """
        valid_until = received + dispatch.valid_ms / 1000
        minion = self.find(dispatch.address, dispatch.connections)
        left_s = valid_until - time.monotonic()
        if left_s <= 0 or not minion.free.acquire(timeout=left_s):
            return not_run("dispatch came too late")
        try:
            if time.monotonic() + CONNECT_TIMEOUT_S > valid_until:
                return not_run("dispatch came too late")
            return exchange(minion, job, body, dispatch)
        finally:
            minion.free.release()


def exchange(
    minion: Minion, job: jobs.Job, body: bytes, dispatch: messages.Dispatch
) -> Answer:
    """Makes one call to a minion."""
    started = time.monotonic()
    headers = {
        "X-Request-Id": job.job_id,
        "X-Grant-Term": str(dispatch.term),
        "X-Attempt": str(dispatch.attempt),
        "Content-Type": "application/json",
    }
    timeout_s = job.timeout_ms / 1000 or DEFAULT_TIMEOUT_S
    try:
        with gevent.Timeout(timeout_s, TimeoutError("timeout")):
            response = minion.http.request(
                "POST", f"/minion/{job.command}", body=body, headers=headers
            )
            data = read_whole(response)
    except ConnectionRefusedError:
        return not_run("minion refused the connection")
    except OSError as error:
        if error.errno in UNREACHABLE:
            return not_run("minion unreachable")
        return unknown(str(error) or type(error).__name__)
    except (ValueError, http.client.HTTPException) as error:
        return unknown(str(error) or type(error).__name__)
    run_ms = int((time.monotonic() - started) * 1000)
    return classify(response.status_code, data, run_ms)


def read_whole(response: http_response.HTTPSocketResponse) -> bytes:
    """Returns the body of an answer.

    Raises:
        HalfAnswerError: Only the connection's end would tell its length, or
            it is too long.
    """
    chunked = "chunked" in (response.get("transfer-encoding") or "")
    if response.content_length is None and not chunked:
        raise HalfAnswerError("answer without a length")
    if (response.content_length or 0) > ANSWER_LIMIT_BYTES:
        raise HalfAnswerError("answer too large")
    data = bytearray()
    while True:
        part = response.read(READ_BYTES)
        data += part
        if not part or len(data) > ANSWER_LIMIT_BYTES:
            break
    if not response.message_complete:
        raise HalfAnswerError("answer cut short")
    return bytes(data)


def classify(status: int, data: bytes, run_ms: int) -> Answer:
    """Returns the answer that a whole HTTP answer stands for."""
    if status in (STALE_TERM_STATUS, FULL_STATUS):
        return not_run(f"minion answered {status}")
    failed = status >= 500
    return Answer(
        result=jobs.TaskResult.FAILED if failed else jobs.TaskResult.SUCCEEDED,
        status=status,
        body=data,
        run_ms=run_ms,
    )
