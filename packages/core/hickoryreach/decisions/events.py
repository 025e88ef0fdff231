"""Events that the reducer turns into effects.

All times are the `now_ms` passed along with an event: milliseconds of one
monotonic clock chosen by the caller.
"""

import dataclasses

from hickoryreach.structure import jobs
from hickoryreach.structure import resources
from hickoryreach.structure import workers
from hickoryreach.structure import workspaces


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EntitlementsChanged:
    """A configuration or budget change is in force.

    Attributes:
        entitlements: Every workspace; one left out may start nothing.
    """

    entitlements: tuple[workspaces.Entitlement, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WorkerJoined:
    """A worker granted this owner its term, or its description changed.

    Attributes:
        worker: The worker.
        running: What it lists as running, complete.
    """

    worker: workers.Worker
    running: tuple[workers.RunningTask, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WorkerReported:
    """A worker's lagging report of its tasks.

    Attributes:
        worker_id: The worker.
        running: What it lists as running, complete.
    """

    worker_id: str
    running: tuple[workers.RunningTask, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WorkerUnreachable:
    """A worker stopped answering; its tasks may still run."""

    worker_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WorkerLost:
    """Every lease the worker held has lapsed: nothing of ours runs on it."""

    worker_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JobSubmitted:
    """A job is accepted and, where it must last, journaled.

    Attributes:
        job: The job.
        entry: Entry instance that holds the caller of a request.
    """

    job: jobs.Job
    entry: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JobRestored:
    """A job read back from the journal by a new owner.

    Attributes:
        job: The job.
        done: Indexes of tasks that succeeded.
        failed: Indexes of tasks that failed for good.
        unclear: Attempts whose intent is journaled without an outcome.
        attempts: Highest attempt number used by each index.
        hold_until_ms: Start nothing of it before this time, unless every
            worker has listed its tasks; an earlier owner may have.
    """

    job: jobs.Job
    done: tuple[int, ...] = ()
    failed: tuple[int, ...] = ()
    unclear: tuple[jobs.TaskKey, ...] = ()
    attempts: tuple[tuple[int, int], ...] = ()
    hold_until_ms: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HoldsCleared:
    """Every worker has listed its tasks, or its leases have lapsed."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JobCancelled:
    """A caller cancelled a job."""

    job_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WaveCancelled:
    """A caller cancelled every job of one wave of a workspace."""

    workspace: str
    wave: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TaskStarted:
    """A worker acknowledged a start."""

    key: jobs.TaskKey
    worker_id: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TaskEnded:
    """An attempt ended, or was refused before it ran.

    Attributes:
        key: The attempt.
        worker_id: Where it was placed.
        result: How it ended.
        used: Peak use, for learning; NOTHING when unknown.
        run_ms: How long it ran.
        status: HTTP status of a request's answer, or 0.
        answer: Small answer body of a request.
        reason: Cause of a failure or refusal.
    """

    key: jobs.TaskKey
    worker_id: str
    result: jobs.TaskResult
    used: resources.Resources = resources.ZERO
    run_ms: int = 0
    status: int = 0
    answer: bytes = b""
    reason: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Ticked:
    """Time passed; the owner sends one every 50 ms."""


Event = (
    EntitlementsChanged
    | WorkerJoined
    | WorkerReported
    | WorkerUnreachable
    | WorkerLost
    | JobSubmitted
    | JobRestored
    | HoldsCleared
    | JobCancelled
    | WaveCancelled
    | TaskStarted
    | TaskEnded
    | Ticked
)
