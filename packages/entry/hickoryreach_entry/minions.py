"""Sends requests to minions and reads their answers whole."""

import dataclasses
import time

import gevent
import geventhttpclient

from hickoryreach.structure import jobs
from hickoryreach.wire import messages

DEFAULT_TIMEOUT_S = 30.0
CONNECT_TIMEOUT_S = 1.0
STALE_TERM_STATUS = 409
FULL_STATUS = 503


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


def not_run(reason: str) -> Answer:
    """Returns the answer for a request that was never sent."""
    return Answer(result=jobs.TaskResult.NOT_RUN, reason=reason)


_clients: dict[str, geventhttpclient.HTTPClient] = {}


def get_client(address: str) -> geventhttpclient.HTTPClient:
    """Returns the kept client of one minion."""
    if address not in _clients:
        host, port = address.rsplit(":", 1)
        _clients[address] = geventhttpclient.HTTPClient(
            host,
            port=int(port),
            concurrency=9,
            connection_timeout=CONNECT_TIMEOUT_S,
            network_timeout=3600.0,
        )
    return _clients[address]


def send(job: jobs.Job, body: bytes, dispatch: messages.Dispatch) -> Answer:
    """Sends a request; a half answer counts as none."""
    if dispatch.valid_ms <= 0:
        return not_run("dispatch came too late")
    started = time.monotonic()
    headers = {
        "X-Request-Id": job.job_id,
        "X-Grant-Term": str(dispatch.term),
        "Content-Type": "application/json",
    }
    timeout_s = job.timeout_ms / 1000 or DEFAULT_TIMEOUT_S
    try:
        with gevent.Timeout(timeout_s, OSError("timeout")):
            response = get_client(dispatch.address).request(
                "POST", f"/minion/{job.command}", body=body, headers=headers
            )
            data = bytes(response.read())
    except ConnectionRefusedError:
        return not_run("minion refused the connection")
    except (OSError, ValueError) as error:
        return Answer(
            result=jobs.TaskResult.UNKNOWN,
            reason=str(error) or type(error).__name__,
        )
    run_ms = int((time.monotonic() - started) * 1000)
    return classify(response.status_code, data, run_ms)


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
