"""What a shard's owner knows of each job, queue, worker and workspace.

The records refer to one another, as a job to its queue and attempts, and a
worker to the attempts and claims on it.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import Any

from hickoryreach.structure import jobs
from hickoryreach.structure import resources
from hickoryreach.structure import workers
from hickoryreach.structure import workspaces


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Attempt:
    """One attempt that holds resources on a worker.

    Attributes:
        key: The attempt.
        worker_id: Where it is placed.
        held: What is set aside for it.
        placed_ms: When it was placed.
        workspace: Workspace it counts for, or empty while unidentified.
        started: Whether the worker acknowledged the start.
        stopping: Whether a stop was asked for.
        stop_asked_ms: When a stop was last asked for.
        stop_reason: Cause given with the stop.
        preempted: Whether it was stopped to make room.
        preemptible: Whether it may be stopped to make room.
        stray: Whether it is listed by a worker without being expected.
        missing_since_ms: First complete list that left it out, or -1.
        used: Last reported use.
        throttled: Whether its processor use was capped.
    """

    key: jobs.TaskKey
    worker_id: str
    held: resources.Resources
    placed_ms: int
    workspace: str = ""
    started: bool = False
    stopping: bool = False
    stop_asked_ms: int = 0
    stop_reason: str = ""
    preempted: bool = False
    preemptible: bool = False
    stray: bool = False
    missing_since_ms: int = -1
    used: resources.Resources = resources.ZERO
    throttled: bool = False


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class JobRecord:
    """A job and the progress of its tasks.

    Attributes:
        job: The job.
        entry: Entry that holds the caller of a request.
        state: State as callers see it.
        sequence: Position in the order of arrival.
        waiting: Indexes to start, the next one last.
        delayed: Indexes that wait for a retry delay.
        running: Attempts placed, by index.
        unclear: Attempts of an earlier owner without outcome, by index.
        done: Indexes that succeeded.
        failed: Indexes that failed for good or have no known outcome.
        unknown: Indexes in `failed` whose outcome nobody can tell.
        attempts: Highest attempt number used, by index.
        repeats: Repeats so far, by index.
        queued_ms: When it began to wait.
        hold_until_ms: Start nothing of it earlier.
        on_hold: Whether an earlier owner's attempts may still run.
        doubt: What its attempts under an earlier owner may be using.
        confirmed: Whether some of it has run.
        doubtful: Whether some of it may have run.
        queue: The queue it stands in, or None.
        spread: Attempts of a service by failure domain and rack; an empty
            rack stands for the whole domain.
        gang: Progress of a gang's reservation, or None.
        reserve_turns: Times that it reserved room as a gang.
        claims: Room being made for tasks of it.
        misfit_ms: Since when the cell is too small for it, or -1.
    """

    job: jobs.Job
    entry: str = ""
    state: jobs.JobState = jobs.JobState.ACCEPTED
    sequence: int = 0
    waiting: dict[int, None] = dataclasses.field(default_factory=dict)
    delayed: set[int] = dataclasses.field(default_factory=set)
    running: dict[int, Attempt] = dataclasses.field(default_factory=dict)
    unclear: dict[int, jobs.TaskKey] = dataclasses.field(default_factory=dict)
    done: set[int] = dataclasses.field(default_factory=set)
    failed: set[int] = dataclasses.field(default_factory=set)
    unknown: set[int] = dataclasses.field(default_factory=set)
    attempts: dict[int, int] = dataclasses.field(default_factory=dict)
    repeats: dict[int, int] = dataclasses.field(default_factory=dict)
    queued_ms: int = 0
    hold_until_ms: int = 0
    on_hold: bool = False
    doubt: resources.Resources = resources.ZERO
    confirmed: bool = False
    doubtful: bool = False
    queue: JobQueue | None = None
    spread: collections.Counter[tuple[str, str]] = dataclasses.field(
        default_factory=collections.Counter
    )
    gang: Gang | None = None
    reserve_turns: int = 0
    claims: list[Claim] = dataclasses.field(default_factory=list)
    misfit_ms: int = -1

    @property
    def ran(self) -> jobs.ExecutionStatus:
        """Whether any of it was carried out, as far as is known."""
        if self.state is jobs.JobState.UNKNOWN:
            return jobs.ExecutionStatus.UNKNOWN
        if self.confirmed:
            return jobs.ExecutionStatus.RAN
        if self.doubtful or self.running or self.unclear:
            return jobs.ExecutionStatus.UNKNOWN
        return jobs.ExecutionStatus.NOT_RUN


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Claim:
    """Room on a worker that is kept for one job.

    Attributes:
        record: The job.
        worker_id: The worker.
        need: Size of one task.
        count: Tasks it has room for.
        pending: Whether tasks must leave before there is room.
        charged: Whether it counts against the workspace's limit by itself.
    """

    record: JobRecord
    worker_id: str
    need: resources.Resources
    count: int = 1
    pending: bool = False
    charged: bool = False


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Gang:
    """Progress of a gang towards starting all its tasks.

    Attributes:
        need: Size of one task.
        lane: Where it looks for room, while it gathers.
        claims: Room gathered so far, by worker.
        gathered: Tasks there is room for.
        reserving: Whether it keeps what it gathered until complete.
        launching: Whether its tasks are being started.
        charged: What is counted against the workspace's limit for it.
    """

    need: resources.Resources
    lane: Lane | None = None
    claims: dict[str, Claim] = dataclasses.field(default_factory=dict)
    gathered: int = 0
    reserving: bool = False
    launching: bool = False
    charged: resources.Resources = resources.ZERO


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class JobQueue:
    """Jobs of one workspace that look alike, in order of arrival.

    Attributes:
        key: What they have in common.
        workspace: The workspace.
        lane: Lane of the size they are placed with.
        profile: What is known about their command.
        declared: Size that the jobs declare.
        jobs: Heap of sequence and job.
        pushed: Key of its valid entry in the lane's heap, or None.
        parked: Whether the workspace's limit keeps it from starting.
    """

    key: tuple[Any, ...]
    workspace: WorkspaceRecord
    lane: Lane
    profile: Profile
    declared: resources.Resources
    jobs: list[tuple[int, JobRecord]] = dataclasses.field(default_factory=list)
    pushed: float | None = None
    parked: bool = False


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Lane:
    """Queues whose tasks fit the same workers.

    Attributes:
        key: Identity within the shard.
        need: Size of one task.
        pool: Minion service that the worker must have, or empty.
        kind: Kind of the jobs.
        priority: Lower goes first.
        queues: Heap of order key, sequence and queue.
        pushed: Key of its valid entry in the shard's heap, or None.
        pushed_blocked: Key of its valid entry among blocked lanes, or None.
        blocked: Whether no worker had room at the last search.
        blocked_ms: When it became blocked.
        misfit_ms: Since when no worker is large enough, or -1.
        candidates: Workers that gained room since it was blocked.
        gang: Gang that gathers here, or None.
        size: Queues that belong to it.
        careful: Whether its tasks keep off workers that may be failing.
    """

    key: tuple[Any, ...]
    need: resources.Resources
    pool: str = ""
    kind: jobs.Kind = jobs.Kind.BATCH
    priority: int = 0
    queues: list[tuple[float, int, JobQueue]] = dataclasses.field(
        default_factory=list
    )
    pushed: float | None = None
    pushed_blocked: float | None = None
    blocked: bool = False
    blocked_ms: int = 0
    misfit_ms: int = -1
    candidates: dict[str, None] = dataclasses.field(default_factory=dict)
    gang: JobRecord | None = None
    size: int = 0
    careful: bool = False


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Profile:
    """What is known about a workspace's command.

    Attributes:
        cpu_millis: Recent peaks of processor use.
        memory_mb: Recent peaks of memory use.
        run_ms: Recent run times.
        overrun: Highest use reported above what was given, before enough
            attempts have ended.
        probe: Attempt whose processor cap was raised to see its demand.
        probed_from: Processor cap of that attempt before.
        cap_known: Whether a raised cap was seen not to be used.
        queues: Queues of its jobs.
        succeeded_on: Workers it succeeded on lately.
        failed_on: Workers it failed on lately.
        tokens: Repeats it may make now.
        pool: What is known about the command in all workspaces, or None.
        members: Profiles of the workspaces, where this is the pool.
    """

    cpu_millis: collections.deque[int] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=16)
    )
    memory_mb: collections.deque[int] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=16)
    )
    run_ms: collections.deque[int] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=16)
    )
    overrun: resources.Resources = resources.ZERO
    probe: Attempt | None = None
    probed_from: int = 0
    cap_known: bool = False
    queues: dict[tuple[Any, ...], JobQueue] = dataclasses.field(
        default_factory=dict
    )
    succeeded_on: dict[str, None] = dataclasses.field(default_factory=dict)
    failed_on: dict[str, None] = dataclasses.field(default_factory=dict)
    tokens: float = 10.0
    pool: Profile | None = None
    members: list[Profile] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class WorkerRecord:
    """A worker and what is placed on it.

    Attributes:
        worker: The worker.
        free: Capacity not set aside.
        number: Position in the order of joining.
        attempts: Attempts placed on it.
        reachable: Whether it answers.
        available: Room for new tasks: free less what is claimed.
        reclaimable: Part of what is held that urgent work may displace.
        claimed: Room kept for particular jobs.
        claims: Reservations on it.
        unidentified: Listed tasks whose job is not known.
        strikes: Failures since the last success, by cause.
        quarantined_until_ms: No work before this time, or 0.
        quarantines: Quarantines in a row.
        probing: Whether it gets one task at a time.
        suspect: Whether that must be one that may be repeated.
        turn: When it last got a request, as a count.
        ended: Attempts that ended lately, with the time.
        open: Whether new work may go there.
    """

    worker: workers.Worker
    free: resources.Resources
    number: int = 0
    attempts: dict[jobs.TaskKey, Attempt] = dataclasses.field(
        default_factory=dict
    )
    reachable: bool = True
    available: resources.Resources = resources.ZERO
    reclaimable: resources.Resources = resources.ZERO
    claimed: resources.Resources = resources.ZERO
    claims: list[Claim] = dataclasses.field(default_factory=list)
    unidentified: int = 0
    strikes: dict[Any, Profile] = dataclasses.field(default_factory=dict)
    quarantined_until_ms: int = 0
    quarantines: int = 0
    probing: bool = False
    suspect: bool = False
    turn: int = 0
    ended: dict[jobs.TaskKey, int] = dataclasses.field(default_factory=dict)
    open: bool = False


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class WorkspaceRecord:
    """A workspace and what it has running.

    Attributes:
        entitlement: What it may use.
        allowed: Whether the configuration in force names it.
        used: Sum set aside for its attempts.
        claimed: Sum reserved for its gangs.
        doubt: Sum that attempts under an earlier owner may use.
        part: Largest part of the cell that any resource of `used` takes.
        preemptible: Attempts that urgent work may displace.
        yielding: Attempts being displaced for its own urgent work.
        queues: Queues with its jobs.
        parked: Queues that its limit keeps from starting.
        waiting: Tasks waiting, requests left out.
        requests: Requests waiting.
    """

    entitlement: workspaces.Entitlement
    allowed: bool = True
    used: resources.Resources = resources.ZERO
    claimed: resources.Resources = resources.ZERO
    doubt: resources.Resources = resources.ZERO
    part: float = 0.0
    preemptible: dict[jobs.TaskKey, Attempt] = dataclasses.field(
        default_factory=dict
    )
    yielding: dict[jobs.TaskKey, Attempt] = dataclasses.field(
        default_factory=dict
    )
    queues: dict[tuple[Any, ...], JobQueue] = dataclasses.field(
        default_factory=dict
    )
    parked: dict[tuple[Any, ...], JobQueue] = dataclasses.field(
        default_factory=dict
    )
    waiting: int = 0
    requests: int = 0
