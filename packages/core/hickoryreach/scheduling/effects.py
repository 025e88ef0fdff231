"""Effects that the reducer returns for its caller to execute."""

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
        minion_id: Id of the minion.
        payload: Input of the task.
        checkpoint: Checkpoint to resume from, or empty.
        ticket: Ticket of the advice service, or empty.
        valid_until_ms: Time, on the owner's clock, until which the minion may
            begin the run.
        incarnation: Incarnation of the minion that it was decided for; 0 if
            not known.
        contact_first: Whether the minion must answer a poll right before the
            start, so that a start without an answer shows a crash under it.
        detail: Inputs of the decision, for logs.
    """

    key: steps.TaskKey
    number: int
    minion_id: str
    payload: str
    checkpoint: str
    ticket: str
    valid_until_ms: int
    incarnation: int = 0
    contact_first: bool = False
    detail: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StopTask:
    """Stop a run, even if it may not have begun.

    Attributes:
        key: The task.
        number: Number of the run.
        minion_id: Id of the minion.
        reason: Cause, for logs.
    """

    key: steps.TaskKey
    number: int
    minion_id: str
    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SetTaskShare:
    """Limit a run to a share of its full speed.

    Attributes:
        key: The task.
        number: Number of the run.
        minion_id: Id of the minion.
        share: The share, in percent.
    """

    key: steps.TaskKey
    number: int
    minion_id: str
    share: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AskAdvice:
    """Ask the advice service which minions may run a step.

    Attributes:
        job_id: Id of the job.
        repeat: Number of the repeat, from 0.
        position: Position of the step in the job.
        minion_ids: Ids of the minions to ask about.
        cost_ms: Expected processing time of the call in the advice service.
        valid_ms: How long its tickets are valid.
        order: Sort key of the call; those with a lower one go first.
    """

    job_id: str
    repeat: int
    position: int
    minion_ids: tuple[str, ...]
    cost_ms: float
    valid_ms: int
    order: tuple[bool, int, int, float]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ReorderAdvice:
    """Change the order of a call for advice that may still wait.

    Attributes:
        job_id: Id of the job.
        repeat: Number of the repeat, from 0.
        position: Position of the step in the job.
        order: New sort key of the call.
    """

    job_id: str
    repeat: int
    position: int
    order: tuple[bool, int, int, float]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RenameAdvice:
    """Change the minions that a call for advice names, if it still waits.

    Attributes:
        job_id: Id of the job.
        repeat: Number of the repeat, from 0.
        position: Position of the step in the job.
        minion_ids: Ids of the minions to ask about.
        cost_ms: Expected processing time of the call in the advice service.
    """

    job_id: str
    repeat: int
    position: int
    minion_ids: tuple[str, ...]
    cost_ms: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PollMinion:
    """Poll a minion at once, to find out whether a run exists."""

    minion_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FindStoredJob:
    """Look up in the store a job that only a minion lists."""

    job_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AcknowledgeEnd:
    """Store an end if required, then acknowledge it to its minion.

    Attributes:
        minion_id: Id of the minion that listed it.
        incarnation: Incarnation of the minion.
        end: The end.
        must_store: Whether it must be stored before it is acknowledged.
    """

    minion_id: str
    incarnation: int
    end: minions.TaskEnd
    must_store: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RecordCrash:
    """Store that a minion crashed under a run, or that it did not after all.

    Attributes:
        key: The task.
        number: Number of the run.
        retracted: Whether an earlier crash of this run counts no longer.
        proven: Whether the minion crashed for certain while the run was at
            work there.
    """

    key: steps.TaskKey
    number: int
    retracted: bool = False
    proven: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JobChanged:
    """Publish a job's new state once the ends that caused it are stored.

    Attributes:
        job_id: Id of the job.
        state: The new state.
        reason: Cause, for logs.
    """

    job_id: str
    state: state.JobState
    reason: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LogDecision:
    """Log a decision that leads to no order.

    Attributes:
        event_name: Name of the log event.
        subject: Job, task or minion concerned.
        detail: Inputs of the decision.
    """

    event_name: str
    subject: str
    detail: str


Effect = (
    StartTask
    | StopTask
    | SetTaskShare
    | AskAdvice
    | ReorderAdvice
    | RenameAdvice
    | PollMinion
    | FindStoredJob
    | AcknowledgeEnd
    | RecordCrash
    | JobChanged
    | LogDecision
)
