"""Client of a worker's task interface.

The least that is assumed of a worker is on the design page on grants: it
keeps the highest term it was asked under and refuses a lower one, carries
out nothing of a sync that names another boot or arrives after its deadline,
stops a task whose lease lapses, starts an attempt once, and keeps the end of
a task until it is acknowledged.
"""

import dataclasses
import http.client

import gevent
import geventhttpclient
import orjson
import pydantic
from returns import result

from hickoryreach import exceptions
from hickoryreach.structure import jobs
from hickoryreach.structure import resources

CALL_TIMEOUT_S = 1.0
REPLY_LIMIT_BYTES = 16_000_000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Operation:
    """One command within a sync.

    Attributes:
        verb: start, stop, checkpoint or throttle.
        key: The attempt.
        need: What a start is given, or the new cap of a throttle.
        command: Command of a start.
        arguments: Its arguments.
        workspace: Workspace the task belongs to.
        reason: Cause of a stop.
        service: True for a task that runs until it is stopped.
    """

    verb: str
    key: jobs.TaskKey
    need: resources.Resources = resources.ZERO
    command: str = ""
    arguments: tuple[str, ...] = ()
    workspace: str = ""
    reason: str = ""
    service: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SyncRequest:
    """A renewal of grant and task leases, with commands.

    Attributes:
        owner: Name of the entry that owns the shard.
        term: Term of its ownership.
        boot_id: Boot of the worker that leases and commands are meant for.
        deadline_ms: Time by the worker's own clock after which nothing but
            the term is taken in; 0 when only the term is claimed.
        grant_ms: How long the grant is to last from receipt.
        task_lease_ms: How long listed tasks may go on from receipt.
        operations: Commands, carried out in order.
        acknowledged: Ends that are recorded and need not be kept.
    """

    owner: str
    term: int
    boot_id: str = ""
    deadline_ms: int = 0
    grant_ms: int
    task_lease_ms: int
    operations: tuple[Operation, ...] = ()
    acknowledged: tuple[jobs.TaskKey, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TaskEnd:
    """An ended or refused attempt.

    Attributes:
        key: The attempt.
        result: How it ended.
        used: Peak use.
        run_ms: How long it ran, in ms.
        reason: Cause of a failure or refusal.
    """

    key: jobs.TaskKey
    result: jobs.TaskResult
    used: resources.Resources = resources.ZERO
    run_ms: int = 0
    reason: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TaskRow:
    """A running attempt in a worker's list.

    Attributes:
        key: The attempt.
        used: What it uses, with a lag.
        need: What its start named.
    """

    key: jobs.TaskKey
    used: resources.Resources = resources.ZERO
    need: resources.Resources = resources.ZERO


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SyncReply:
    """What a worker answers to a sync.

    Attributes:
        term: Highest term the worker was asked under.
        boot_id: Changes when the worker restarts and forgets its tasks.
        clock_ms: The worker's monotonic clock.
        late: Whether leases were not renewed and commands left out, because
            of another boot or a passed deadline.
        running: All running attempts.
        ended: Ends not acknowledged yet, refusals included.
        requests: Job ids its minion is serving.
    """

    term: int
    boot_id: str
    clock_ms: int
    late: bool = False
    running: tuple[TaskRow, ...] = ()
    ended: tuple[TaskEnd, ...] = ()
    requests: tuple[str, ...] = ()


_reply_type = pydantic.TypeAdapter(SyncReply)


class WorkerClient:
    """Calls to one worker over a kept connection.

    Attributes:
        address: `host:port` of the worker.
    """

    def __init__(
        self, *, address: str, timeout_s: float = CALL_TIMEOUT_S
    ) -> None:
        """Creates a client; opens no connection yet."""
        host, port = address.rsplit(":", 1)
        self.address = address
        self.timeout_s = timeout_s
        self.http = geventhttpclient.HTTPClient(
            host,
            port=int(port),
            concurrency=2,
            connection_timeout=timeout_s,
            network_timeout=timeout_s,
        )

    def sync(
        self, request: SyncRequest
    ) -> result.Result[SyncReply, exceptions.WorkerFailure]:
        """Sends one sync.

        Returns:
            The reply; or a failure, whose `stale_term` is set when the
            worker holds a higher term. After any other failure it is not
            known which commands were carried out.
        """
        try:
            with gevent.Timeout(self.timeout_s, OSError("timeout")):
                response = self.http.post(
                    "/v1/sync", body=orjson.dumps(request)
                )
                if (response.content_length or 0) > REPLY_LIMIT_BYTES:
                    raise ValueError("reply too large")
                body = bytes(response.read())
        except (OSError, ValueError, http.client.HTTPException) as error:
            return result.Failure(
                exceptions.WorkerFailure(reason=str(error) or "no answer")
            )
        return _parse_reply(response.status_code, body)

    def close(self) -> None:
        """Closes the kept connections."""
        self.http.close()


def _parse_reply(
    status: int, body: bytes
) -> result.Result[SyncReply, exceptions.WorkerFailure]:
    try:
        if status == 409:
            term = int(orjson.loads(body)["term"])
            return result.Failure(
                exceptions.WorkerFailure(reason="stale term", stale_term=term)
            )
        if status != 200:
            return result.Failure(
                exceptions.WorkerFailure(reason=f"status {status}")
            )
        return result.Success(_reply_type.validate_json(body))
    except (ValueError, KeyError, TypeError) as error:
        return result.Failure(
            exceptions.WorkerFailure(reason=f"malformed reply: {error}")
        )
