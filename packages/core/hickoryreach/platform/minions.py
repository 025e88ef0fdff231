"""Client of the HTTP interface through which minions run tasks."""

import dataclasses
import enum

from returns import result

from hickoryreach.platform import http
from hickoryreach.platform import numbers
from hickoryreach.structure import steps

ORDER_TIMEOUT_S = 0.4
POLL_MARGIN_S = 0.35
MEASUREMENT_COLUMN = 4
MAX_LISTED_ENDS = 500  # most ends in one reply to a poll


class EndKind(enum.StrEnum):
    """How a run of a task ended.

    Attributes:
        DONE: The task completed.
        FAILED: The task or the minion failed.
        STOPPED: A stop order ended it.
        LEASE_EXPIRED: The minion's lease expired.
        GANG_MEMBER_ENDED: Another task of its gang ended.
        GANG_TIMED_OUT: The other tasks of its gang did not start in time.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    GANG_MEMBER_ENDED = "broken"
    GANG_TIMED_OUT = "alone"


class Refusal(enum.StrEnum):
    """Why a minion did not execute an order.

    Attributes:
        FENCED: The minion has seen a higher fencing token.
        STALE_RUN: This run, or one with a higher number, has already stopped
            or ended on the minion.
        DEADLINE_PASSED: The deadline of the order has passed.
        NO_CAPACITY: The minion lacks free capacity.
        INVALID_TICKET: The ticket is missing or expired.
        MALFORMED: The minion does not understand the order.
        UNHEALTHY: The minion is unhealthy and has done nothing.
        OTHER_INCARNATION: Another incarnation of the minion responded.
    """

    FENCED = "fence"
    STALE_RUN = "old"
    DEADLINE_PASSED = "late"
    NO_CAPACITY = "room"
    INVALID_TICKET = "ticket"
    MALFORMED = "malformed"
    UNHEALTHY = "unhealthy"
    OTHER_INCARNATION = "other_life"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RunningTask:
    """A run that a minion reports as running.

    Attributes:
        key: The task.
        run: Number of the run.
        checkpoint: Name of the newest checkpoint, or empty.
        percent: Progress in percent; for a lasting task, whether it is at
            work.
        measurement: Recent tail latency in ms for a task that serves
            requests; processor time in use, in thousandths of a core, for
            any other.
    """

    key: steps.TaskKey
    run: int
    checkpoint: str
    percent: int
    measurement: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TaskEnd:
    """The end of a run, reported by a minion until it is acknowledged.

    Attributes:
        number: Number of the end in this incarnation of the minion.
        key: The task.
        run: Number of the run.
        kind: How the run ended.
        checkpoint: Name of the newest checkpoint, or empty.
    """

    number: int
    key: steps.TaskKey
    run: int
    kind: EndKind
    checkpoint: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PollReply:
    """Reply of a minion to a poll, which also renews its lease.

    Attributes:
        incarnation: Start of the minion's process, in ms since 1970; 0 if
            not reported.
        clock_ms: Monotonic clock of the minion, in ms.
        running: All runs in progress.
        ends: Ends that have not been acknowledged yet, by number.
    """

    incarnation: int
    clock_ms: int
    running: tuple[RunningTask, ...]
    ends: tuple[TaskEnd, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OrderFailure:
    """An order that was not confirmed.

    Attributes:
        reason: What went wrong, for logs.
        refusal: Why the minion refused; None without a response.
        effect_unknown: Whether the order may have been executed, or may
            still be.
    """

    reason: str
    refusal: Refusal | None = None
    effect_unknown: bool = False


OrderResult = result.Result[int, OrderFailure]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StartOrder:
    """An order to start a task.

    Attributes:
        key: The task.
        run: Number of the run.
        payload: Input of the task.
        deadline_ms: Time on the minion's clock at which the order expires.
        token: Fencing token.
        checkpoint: Checkpoint to resume from, or empty.
        ticket: Ticket of the advice service, or empty.
    """

    key: steps.TaskKey
    run: int
    payload: str
    deadline_ms: int
    token: int
    checkpoint: str = ""
    ticket: str = ""


class MinionClient:
    """Client of one minion.

    Attributes:
        minion_id: Id of the minion; a minion with another id refuses the
            call.
        orders: Client for orders and immediate polls.
        polls: Client for polls that wait for an end.
    """

    def __init__(
        self,
        *,
        minion_id: str,
        address: str,
        poll_wait_ms: int,
        connections: int = 4,
    ) -> None:
        """Creates a client without opening a connection.

        Args:
            minion_id: Id of the minion.
            address: `host:port` of the minion.
            poll_wait_ms: Longest wait of a poll, at most 2,000 ms.
            connections: Maximum number of concurrent orders.
        """
        self.minion_id = minion_id
        headers = {"Expect-Instance": minion_id}
        self.orders = http.Client(
            address=address,
            kind="minion_order",
            timeout_s=ORDER_TIMEOUT_S,
            connections=connections,
            headers=headers,
        )
        self.polls = http.Client(
            address=address,
            kind="minion_look",
            timeout_s=poll_wait_ms / 1000 + POLL_MARGIN_S,
            connections=1,
            headers=headers,
        )

    def start(self, order: StartOrder) -> OrderResult:
        """Starts a task.

        Returns:
            The minion's clock in ms.
        """
        body = {
            "task": format_task(order.key),
            "run": order.run,
            "spec": order.payload,
            "deadlineMs": order.deadline_ms,
            "fencingToken": order.token,
        }
        if order.checkpoint:
            body["lastCheckpoint"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        return self._send_order("/run-start", body)

    def stop(self, key: steps.TaskKey, run: int, token: int) -> OrderResult:
        """Stops a run, also one whose start order has not arrived yet."""
        body = {"task": format_task(key), "run": run, "fencingToken": token}
        return self._send_order("/run-stop", body)

    def pace(
        self, key: steps.TaskKey, run: int, percent: int, token: int
    ) -> OrderResult:
        """Limits a run to a percentage of its full speed."""
        body = {
            "task": format_task(key),
            "run": run,
            "percent": percent,
            "fencingToken": token,
        }
        return self._send_order("/pace", body)

    def poll(
        self,
        *,
        token: int,
        acknowledged: int,
        deadline_ms: int | None,
        wait_ms: int,
        immediate: bool = False,
    ) -> result.Result[PollReply, OrderFailure]:
        """Renews the lease and reads running tasks and ends.

        Args:
            token: Fencing token.
            acknowledged: Ends up to this number are acknowledged, so that
                the minion may delete them.
            deadline_ms: New end of the lease on the minion's clock; None
                leaves the lease as it is.
            wait_ms: How long the minion may wait for an end, at most
                `poll_wait_ms`; 0 for an immediate reply.
            immediate: Whether the call times out after ORDER_TIMEOUT_S.
        """
        body: dict[str, int] = {"fencingToken": token, "lastSeen": acknowledged}
        if deadline_ms is not None:
            body["deadlineMs"] = deadline_ms
        if wait_ms:
            body["waitMs"] = wait_ms
        client = self.orders if immediate else self.polls
        call_result = client.call("POST", "/hold", body)
        return call_result.lash(_convert_failure).bind(_parse_poll_reply)

    def _send_order(self, path: str, body: dict) -> OrderResult:
        return (
            self.orders.call("POST", path, body)
            .lash(_convert_failure)
            .bind(_parse_order)
        )

    def close(self) -> None:
        """Closes the connections to the minion."""
        self.orders.close()
        self.polls.close()


def format_task(key: steps.TaskKey) -> str:
    """Returns the name of a task in the minions' interface."""
    return f"{key.job_id}.{key.repeat}.{key.step}.{key.index}"


def format_step(job_id: str, repeat: int, step: int) -> str:
    """Returns the name of a step in the advice service's interface."""
    return f"{job_id}.{repeat}.{step}"


def parse_task(name: str) -> steps.TaskKey:
    """Returns the task that `format_task` gave this name.

    Raises:
        ValueError: The name is not of the form job.repeat.step.index.
    """
    job_id, *positions = name.split(".")
    repeat, step, index = (int(position) for position in positions)
    if min(repeat, step, index) < 0:
        raise ValueError(f"negative number in task {name!r}")
    return steps.TaskKey(job_id=job_id, repeat=repeat, step=step, index=index)


def _convert_failure(failure: http.CallFailure) -> result.Result:
    return result.Failure(
        OrderFailure(
            reason=failure.reason, effect_unknown=failure.effect_unknown
        )
    )


def _build_refusal(answer: http.Answer) -> result.Result:
    if answer.status in (http.TOO_MANY, http.UNAVAILABLE):
        refusal = Refusal.UNHEALTHY
    elif answer.status == http.MISDIRECTED:
        refusal = Refusal.OTHER_INCARNATION
    elif answer.status == http.CONFLICT:
        refusal = _parse_reason(answer)
    else:
        refusal = Refusal.MALFORMED
    return result.Failure(
        OrderFailure(reason=f"status {answer.status}", refusal=refusal)
    )


def _parse_reason(answer: http.Answer) -> Refusal:
    try:
        return Refusal(answer.body["reason"])
    except (KeyError, TypeError, ValueError):
        return Refusal.MALFORMED


def _parse_order(answer: http.Answer) -> OrderResult:
    if answer.status != http.OK:
        return _build_refusal(answer)
    try:
        return result.Success(numbers.parse_whole(answer.body["clockMs"]))
    except (ArithmeticError, KeyError, TypeError, ValueError) as error:
        return _build_malformed_failure(error)


def _build_malformed_failure(error: Exception) -> result.Result:
    return result.Failure(
        OrderFailure(
            reason=f"malformed answer: {type(error).__name__}: {error}",
            effect_unknown=True,
        )
    )


def _parse_poll_reply(
    answer: http.Answer,
) -> result.Result[PollReply, OrderFailure]:
    if answer.status != http.OK:
        return _build_refusal(answer)
    try:
        body = answer.body
        return result.Success(
            PollReply(
                incarnation=numbers.parse_whole(body.get("born") or 0),
                clock_ms=numbers.parse_whole(body["clockMs"]),
                running=tuple(_parse_running(row) for row in body["running"]),
                ends=tuple(_parse_end(row) for row in body["finished"]),
            )
        )
    except (
        ArithmeticError,
        AttributeError,
        LookupError,
        TypeError,
        ValueError,
    ) as error:
        return _build_malformed_failure(error)


def _parse_running(row: list) -> RunningTask:
    return RunningTask(
        key=parse_task(row[0]),
        run=numbers.parse_whole(row[1]),
        checkpoint=str(row[2] or ""),
        percent=numbers.parse_whole(row[3]),
        measurement=float(row[4] or 0.0)
        if len(row) > MEASUREMENT_COLUMN
        else 0.0,
    )


def _parse_end(row: list) -> TaskEnd:
    return TaskEnd(
        number=numbers.parse_whole(row[0]),
        key=parse_task(row[1]),
        run=numbers.parse_whole(row[2]),
        kind=EndKind(row[3]),
        checkpoint=str(row[4] or ""),
    )
