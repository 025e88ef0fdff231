"""Client of a minion's task interface."""

import dataclasses
import enum

from returns import result

from hickoryreach.platform import http
from hickoryreach.structure import steps

ORDER_TIMEOUT_S = 0.4
LOOK_MARGIN_S = 0.35
FIGURE = 4


class EndKind(enum.StrEnum):
    """How a run of a task ended.

    Attributes:
        DONE: It completed.
        FAILED: It failed by its own fault or the minion's.
        STOPPED: It was stopped on an order.
        LAPSED: The minion's lease ran out.
        BROKEN: Another member of its gang ended.
        ALONE: It waited too long for the rest of its gang.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


class Refusal(enum.StrEnum):
    """Why a minion did not carry out an order.

    Attributes:
        FENCED: It has seen a higher fencing token.
        STALE_RUN: It has seen this run, or a higher one, stopped or ended.
        DEADLINE_PASSED: The order's deadline had passed.
        NO_CAPACITY: It has no room.
        INVALID_TICKET: The ticket is missing or expired.
        MALFORMED: It does not understand the order.
        UNHEALTHY: It is unhealthy and has done nothing.
        OTHER_INCARNATION: Another life of the minion answered.
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
    """A run that a minion lists as running.

    Attributes:
        key: The task.
        run: Number of the run.
        checkpoint: Its newest checkpoint, or empty.
        percent: Progress, or for a lasting task whether it is at work.
        measurement: For a task that serves, the tail of its response times of
            late, in ms; for any other, the processor time in use, in
            thousandths of a core.
    """

    key: steps.TaskKey
    run: int
    checkpoint: str
    percent: int
    measurement: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TaskEnd:
    """An end that a minion lists until it is acknowledged.

    Attributes:
        number: Number of the end in this life of the minion.
        key: The task.
        run: Number of the run.
        kind: How it ended.
        checkpoint: Its newest checkpoint, or empty.
    """

    number: int
    key: steps.TaskKey
    run: int
    kind: EndKind
    checkpoint: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PollReply:
    """What a minion answers when its lease is renewed.

    Attributes:
        incarnation: When this life of it began, in ms since 1970; 0 if not
            told.
        clock_ms: Its steady clock.
        running: All that runs.
        ends: Ends that were not acknowledged yet, by number.
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
        refusal: Why the minion refused; None without an answer.
        effect_unknown: Whether it may have been carried out, or still may.
    """

    reason: str
    refusal: Refusal | None = None
    effect_unknown: bool = False


OrderResult = result.Result[int, OrderFailure]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StartOrder:
    """A start of a task.

    Attributes:
        key: The task.
        run: Number of the run.
        payload: What the task is given.
        deadline_ms: Time on the minion's clock until which the order holds.
        token: Fencing token.
        checkpoint: Checkpoint to go on from, or empty.
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
    """Calls to one minion.

    Attributes:
        minion_id: Id of the minion, which must match at the other end.
    """

    def __init__(
        self,
        *,
        minion_id: str,
        address: str,
        poll_wait_ms: int,
        connections: int = 4,
    ) -> None:
        """Creates a client; opens no connection yet.

        Args:
            minion_id: Id of the minion.
            address: `host:port` of the minion.
            poll_wait_ms: Longest wait of a look; at most 2,000.
            connections: Most orders at once.
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
        self.looks = http.Client(
            address=address,
            kind="minion_look",
            timeout_s=poll_wait_ms / 1000 + LOOK_MARGIN_S,
            connections=1,
            headers=headers,
        )

    def start(self, order: StartOrder) -> OrderResult:
        """Starts a task; the answer is the minion's clock in ms."""
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
        return self._order("/run-start", body)

    def stop(self, key: steps.TaskKey, run: int, token: int) -> OrderResult:
        """Stops a run, also one that has not arrived yet."""
        body = {"task": format_task(key), "run": run, "fencingToken": token}
        return self._order("/run-stop", body)

    def pace(
        self, key: steps.TaskKey, run: int, percent: int, token: int
    ) -> OrderResult:
        """Lets a run work at a share of its speed, in percent."""
        body = {
            "task": format_task(key),
            "run": run,
            "percent": percent,
            "fencingToken": token,
        }
        return self._order("/pace", body)

    def poll(
        self,
        *,
        token: int,
        acknowledged: int,
        deadline_ms: int | None,
        wait_ms: int,
        immediate: bool = False,
    ) -> result.Result[PollReply, OrderFailure]:
        """Renews the lease and reads what runs and what has ended.

        Args:
            token: Fencing token.
            acknowledged: Ends up to this number may be forgotten.
            deadline_ms: New end of the lease on the minion's clock, or None.
            wait_ms: Wait this long for an end, at most `poll_wait_ms`.
            immediate: Whether to give up after ORDER_TIMEOUT_S.
        """
        body: dict[str, int] = {"fencingToken": token, "lastSeen": acknowledged}
        if deadline_ms is not None:
            body["deadlineMs"] = deadline_ms
        if wait_ms:
            body["waitMs"] = wait_ms
        client = self.orders if immediate else self.looks
        called = client.call("POST", "/hold", body)
        return called.lash(_fail).bind(_parse_look)

    def _order(self, path: str, body: dict) -> OrderResult:
        return (
            self.orders.call("POST", path, body).lash(_fail).bind(_parse_order)
        )

    def close(self) -> None:
        """Closes the connections to the minion."""
        self.orders.close()
        self.looks.close()


def format_task(key: steps.TaskKey) -> str:
    """Returns the name of a task on the wire."""
    return f"{key.job_id}.{key.repeat}.{key.step}.{key.index}"


def format_step(job_id: str, repeat: int, step: int) -> str:
    """Returns the name of a step on the wire."""
    return f"{job_id}.{repeat}.{step}"


def parse_task(name: str) -> steps.TaskKey:
    """Returns the task of that name.

    Raises:
        ValueError: The name has another form.
    """
    job_id, repeat, step, index = name.split(".")
    return steps.TaskKey(
        job_id=job_id, repeat=int(repeat), step=int(step), index=int(index)
    )


def _fail(failure: http.CallFailure) -> result.Result:
    return result.Failure(
        OrderFailure(
            reason=failure.reason, effect_unknown=failure.effect_unknown
        )
    )


def _refuse(answer: http.Answer) -> result.Result:
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
        return _refuse(answer)
    try:
        return result.Success(int(answer.body["clockMs"]))
    except (KeyError, TypeError, ValueError) as error:
        return _malformed(error)


def _malformed(error: Exception) -> result.Result:
    return result.Failure(
        OrderFailure(
            reason=f"malformed answer: {type(error).__name__}: {error}",
            effect_unknown=True,
        )
    )


def _parse_look(answer: http.Answer) -> result.Result[PollReply, OrderFailure]:
    if answer.status != http.OK:
        return _refuse(answer)
    try:
        body = answer.body
        return result.Success(
            PollReply(
                incarnation=int(body.get("born") or 0),
                clock_ms=int(body["clockMs"]),
                running=tuple(_parse_running(row) for row in body["running"]),
                ends=tuple(_parse_end(row) for row in body["finished"]),
            )
        )
    except (
        AttributeError,
        IndexError,
        KeyError,
        TypeError,
        ValueError,
    ) as error:
        return _malformed(error)


def _parse_running(row: list) -> RunningTask:
    return RunningTask(
        key=parse_task(row[0]),
        run=row[1],
        checkpoint=row[2],
        percent=row[3],
        measurement=float(row[4] or 0.0) if len(row) > FIGURE else 0.0,
    )


def _parse_end(row: list) -> TaskEnd:
    return TaskEnd(
        number=row[0],
        key=parse_task(row[1]),
        run=row[2],
        kind=EndKind(row[3]),
        checkpoint=row[4],
    )
