"""Orders to minions, their replies, and the names of tasks there."""

import dataclasses
import enum

from returns import result

from hickoryreach.structure import steps

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
PollResult = result.Result[PollReply, OrderFailure]


def is_unanswered(call_result: OrderResult | PollResult) -> bool:
    """Returns whether an order or a poll got no response at all."""
    return (
        isinstance(call_result, result.Failure)
        and call_result.failure().refusal is None
    )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StartOrder:
    """An order to start a task.

    Attributes:
        key: The task.
        run: Number of the run.
        payload: Input of the task.
        incarnation: Incarnation of the minion that may get the order.
        deadline_ms: Time on the minion's clock at which the order expires.
        token: Fencing token.
        checkpoint: Checkpoint to resume from, or empty.
        ticket: Ticket of the advice service, or empty.
    """

    key: steps.TaskKey
    run: int
    payload: str
    incarnation: int
    deadline_ms: int
    token: int
    checkpoint: str = ""
    ticket: str = ""


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
