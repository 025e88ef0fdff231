"""Jobs, their tasks and what callers are told about them."""

import dataclasses
import enum

from hickoryreach.structure import resources


class Kind(enum.StrEnum):
    """Kinds of work, each with a policy of its own.

    Attributes:
        REQUEST: One call dispatched to a minion's slot, one answer.
        BATCH: Independent tasks that run once each.
        GANG: Tasks that start all together or not at all.
        SERVICE: Tasks kept running until cancelled.
    """

    REQUEST = "request"
    BATCH = "batch"
    GANG = "gang"
    SERVICE = "service"


class JobState(enum.StrEnum):
    """States of a job as callers see them."""

    ACCEPTED = "accepted"
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    CANCELLED = "cancelled"
    REFUSED = "refused"
    UNKNOWN = "unknown"

    @property
    def is_final(self) -> bool:
        """Whether the state can no longer change."""
        return self not in (JobState.ACCEPTED, JobState.RUNNING)


class ExecutionStatus(enum.StrEnum):
    """Whether any of the work was carried out."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class TaskResult(enum.StrEnum):
    """How one attempt of a task ended.

    Attributes:
        SUCCEEDED: The task completed.
        FAILED: The task started and reported a failure.
        NOT_RUN: The worker or minion refused it; nothing was executed.
        STOPPED: The scheduler or a lapsed lease stopped it.
        CHECKPOINTED: The task saved its progress and stopped.
        UNKNOWN: Nobody can tell whether it was executed.
    """

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    NOT_RUN = "not_run"
    STOPPED = "stopped"
    CHECKPOINTED = "checkpointed"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Job:
    """Accepted work of one workspace.

    Attributes:
        job_id: `<shard>.<hash>`, derived from workspace and request id.
        workspace: The workspace whose key came with the work.
        request_id: The caller's idempotency id.
        queue: Queue the work came through.
        kind: Which policy places it.
        command: Command the tasks run, or the request's path.
        arguments: Arguments of the command.
        tasks: Number of tasks; 1 for a request.
        need: Declared need of one task.
        run_time_ms: Declared run time of one task; 0 when not declared.
        idempotent: Whether a task may be run again after an unclear end.
        urgent: Whether it must start within the urgent bound.
        preemptible: Whether its tasks may be stopped for urgent work.
        submitted_ms: Wall clock at acceptance, in ms since the epoch.
        timeout_ms: Answer or give up after this long; 0 for no limit.
        wave: Name under which many jobs can be cancelled together.
        digest: Hash of the submitted body; finds changed repeats.
        service: Minion service that answers a request.
    """

    job_id: str
    workspace: str
    request_id: str = ""
    queue: str = "default"
    kind: Kind = Kind.BATCH
    command: str = ""
    arguments: tuple[str, ...] = ()
    tasks: int = 1
    need: resources.Resources = resources.ZERO
    run_time_ms: int = 0
    idempotent: bool = True
    urgent: bool = False
    preemptible: bool = False
    submitted_ms: int = 0
    timeout_ms: int = 0
    wave: str = ""
    digest: str = ""
    service: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TaskKey:
    """Identity of one attempt of one task.

    Attributes:
        job_id: The job.
        index: Position of the task in the job, from 0.
        attempt: Number of the attempt, from 1; rises by one each start.
    """

    job_id: str
    index: int
    attempt: int
