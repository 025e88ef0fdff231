"""State of one shard as its owner knows it."""

import dataclasses

from hickoryreach.structure import jobs
from hickoryreach.structure import resources
from hickoryreach.structure import workers
from hickoryreach.structure import workspaces


@dataclasses.dataclass(kw_only=True, slots=True)
class Attempt:
    """One attempt that holds resources on a worker.

    Attributes:
        key: The attempt.
        worker_id: Where it is placed.
        held: What is set aside for it.
        placed_ms: When it was placed.
        started: Whether the worker acknowledged the start.
        stopping: Whether a stop was asked for.
    """

    key: jobs.TaskKey
    worker_id: str
    held: resources.Resources
    placed_ms: int
    started: bool = False
    stopping: bool = False


@dataclasses.dataclass(kw_only=True, slots=True)
class JobRecord:
    """A job and the progress of its tasks.

    Attributes:
        job: The job.
        entry: Entry that holds the caller of a request.
        state: State as callers see it.
        ran: Whether any of it was carried out.
        waiting: Indexes to start, the next one last.
        running: Attempts placed, by index.
        done: Indexes that succeeded.
        failed: Indexes that failed for good or have no known outcome.
        attempts: Highest attempt number used, by index.
        queued_ms: When it began to wait.
        hold_until_ms: Start nothing of it earlier.
    """

    job: jobs.Job
    entry: str = ""
    state: jobs.JobState = jobs.JobState.ACCEPTED
    ran: jobs.Ran = jobs.Ran.NOT_RUN
    waiting: list[int] = dataclasses.field(default_factory=list)
    running: dict[int, Attempt] = dataclasses.field(default_factory=dict)
    done: set[int] = dataclasses.field(default_factory=set)
    failed: set[int] = dataclasses.field(default_factory=set)
    attempts: dict[int, int] = dataclasses.field(default_factory=dict)
    queued_ms: int = 0
    hold_until_ms: int = 0


@dataclasses.dataclass(kw_only=True, slots=True)
class WorkerRecord:
    """A worker and what is placed on it.

    Attributes:
        worker: The worker.
        free: Capacity not set aside.
        attempts: Attempts placed on it.
        reachable: Whether new work may go there.
    """

    worker: workers.Worker
    free: resources.Resources
    attempts: dict[jobs.TaskKey, Attempt] = dataclasses.field(
        default_factory=dict
    )
    reachable: bool = True


@dataclasses.dataclass(kw_only=True, slots=True)
class WorkspaceRecord:
    """A workspace and what it has running.

    Attributes:
        entitlement: What it may use.
        used: Sum set aside for its attempts.
        queue: Ids of its jobs with waiting tasks, in order of arrival.
    """

    entitlement: workspaces.Entitlement
    used: resources.Resources = resources.NOTHING
    queue: dict[str, None] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(kw_only=True, slots=True)
class ShardState:
    """Everything one owner decides from.

    Attributes:
        now_ms: Time of the event being reduced.
        workers: Workers by id.
        jobs: Jobs by id, final ones until forgotten.
        workspaces: Workspaces by name.
    """

    now_ms: int = 0
    workers: dict[str, WorkerRecord] = dataclasses.field(default_factory=dict)
    jobs: dict[str, JobRecord] = dataclasses.field(default_factory=dict)
    workspaces: dict[str, WorkspaceRecord] = dataclasses.field(
        default_factory=dict
    )
