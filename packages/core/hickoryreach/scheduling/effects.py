"""Effects that the reducer asks its caller to carry out."""

import dataclasses

from hickoryreach.platform import minions
from hickoryreach.scheduling import state
from hickoryreach.structure import steps


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StartTask:
    """Start a task on a minion.

    Attributes:
        key: The task.
        number: Number of the run.
        minion_id: Where to start it.
        payload: What it is given.
        checkpoint: Checkpoint to go on from, or empty.
        ticket: Ticket of the advice service, or empty.
        valid_ms: How long the minion may take to begin it.
    """

    key: steps.TaskKey
    number: int
    minion_id: str
    payload: str
    checkpoint: str
    ticket: str
    valid_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StopTask:
    """Stop a run, also one that may not have begun.

    Attributes:
        key: The task.
        number: Number of the run.
        minion_id: Where it was started.
        reason: Cause, for logs.
    """

    key: steps.TaskKey
    number: int
    minion_id: str
    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SetTaskShare:
    """Let a run work at a share of its speed.

    Attributes:
        key: The task.
        number: Number of the run.
        minion_id: Where it runs.
        share: The share, in percent.
    """

    key: steps.TaskKey
    number: int
    minion_id: str
    share: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AskAdvice:
    """Ask which minions may run a step.

    Attributes:
        job_id: The job.
        repeat: Which repeat.
        position: The step.
        minion_ids: Minions to ask about.
        cost_ms: How long the advice service will work on it.
        valid_ms: How long its tickets may be used.
        rank: Rank of the job.
    """

    job_id: str
    repeat: int
    position: int
    minion_ids: tuple[str, ...]
    cost_ms: float
    valid_ms: int
    rank: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PollMinion:
    """Read a minion's lists at once; they decide whether a run exists."""

    minion_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FindStoredJob:
    """Ask the store for a job that a minion lists and nobody told of."""

    job_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AcknowledgeEnd:
    """An end was taken into account; record it, then acknowledge it.

    Attributes:
        minion_id: The minion that listed it.
        incarnation: Life of the minion.
        end: The end.
        must_store: Whether it must be kept before it is acknowledged.
    """

    minion_id: str
    incarnation: int
    end: minions.TaskEnd
    must_store: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JobChanged:
    """A job entered a state; record it after the ends that caused it.

    Attributes:
        job_id: The job.
        state: The new state.
        reason: Cause, for logs.
    """

    job_id: str
    state: state.JobState
    reason: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LogDecision:
    """A decision without an order, for logs.

    Attributes:
        event_name: Name of the log event.
        subject: Job, task or minion concerned.
        detail: Inputs that decided it.
    """

    event_name: str
    subject: str
    detail: str


Effect = (
    StartTask
    | StopTask
    | SetTaskShare
    | AskAdvice
    | PollMinion
    | FindStoredJob
    | AcknowledgeEnd
    | JobChanged
    | LogDecision
)
