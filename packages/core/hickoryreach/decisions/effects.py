"""Effects the reducer asks its caller to carry out."""

import dataclasses

from hickoryreach.structure import jobs
from hickoryreach.structure import resources


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StartTask:
    """Start an attempt on a worker.

    The caller journals the intent first when the job is not idempotent.

    Attributes:
        key: The attempt.
        worker_id: Where to start it.
        need: What it is given; the worker may throttle above it.
        job: The job it belongs to.
    """

    key: jobs.TaskKey
    worker_id: str
    need: resources.Resources
    job: jobs.Job


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DispatchRequest:
    """Tell the caller's entry to send a request to a minion.

    Attributes:
        key: The attempt.
        worker_id: Worker whose minion answers.
        job: The request.
        entry: Entry instance that holds the caller.
    """

    key: jobs.TaskKey
    worker_id: str
    job: jobs.Job
    entry: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StopTask:
    """Stop an attempt; the worker confirms with its end."""

    key: jobs.TaskKey
    worker_id: str
    reason: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CheckpointTask:
    """Save an attempt's progress, then stop it."""

    key: jobs.TaskKey
    worker_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ThrottleTask:
    """Cap an attempt's processor use.

    Attributes:
        key: The attempt.
        worker_id: Where it runs.
        cpu_millis: New cap in thousandths of a core.
    """

    key: jobs.TaskKey
    worker_id: str
    cpu_millis: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TaskSettled:
    """An index reached its final result; journal it.

    Attributes:
        key: Attempt that settled the index.
        result: SUCCEEDED, FAILED or UNKNOWN.
    """

    key: jobs.TaskKey
    result: jobs.TaskResult


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JobChanged:
    """A job entered a state; journal a final one, then tell who waits.

    Attributes:
        job_id: The job.
        state: The new state.
        ran: Whether any of it was carried out.
        reason: Short machine-readable cause, such as `limit`.
        detail: One sentence for people.
        status: HTTP status of a request's answer, or 0.
        answer: Small answer body of a request.
    """

    job_id: str
    state: jobs.JobState
    ran: jobs.ExecutionStatus
    reason: str = ""
    detail: str = ""
    status: int = 0
    answer: bytes = b""


Effect = (
    StartTask
    | DispatchRequest
    | StopTask
    | CheckpointTask
    | ThrottleTask
    | TaskSettled
    | JobChanged
)
