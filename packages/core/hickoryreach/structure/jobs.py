"""Jobs, their tasks and the states that callers see."""

import dataclasses
import enum

from hickoryreach.structure import resources


class Kind(enum.StrEnum):
    """Kinds of work, each with its own scheduling policy.

    Attributes:
        REQUEST: One call that takes a slot of a minion and has one answer.
        BATCH: Independent tasks that run once each.
        GANG: Tasks that start all together or not at all.
        SERVICE: Tasks that run until they are cancelled.
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
    """Whether any of the work was executed."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class TaskResult(enum.StrEnum):
    """Result of one attempt of a task.

    Attributes:
        SUCCEEDED: The task completed.
        FAILED: The task started and reported a failure.
        NOT_RUN: The worker or minion refused the task; nothing was executed.
        STOPPED: The scheduler or an expired lease stopped the task.
        CHECKPOINTED: The task saved its progress and stopped.
        UNKNOWN: It is not known whether the task was executed.
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
        workspace: Workspace whose key was used for the submission.
        request_id: Idempotency id chosen by the caller.
        queue: Queue that the job was submitted to.
        kind: Kind of work, which selects the scheduling policy.
        command: Command that the tasks run, or the path of the request.
        arguments: Arguments of the command.
        tasks: Number of tasks; 1 for a request.
        need: Declared resources of one task.
        run_time_ms: Declared run time of one task, in ms; 0 if not declared.
        idempotent: Whether a task may run again after an attempt whose
            result is unknown.
        urgent: Whether the job must start within the bound for urgent work.
        preemptible: Whether its tasks may be stopped for urgent work.
        submitted_ms: Wall clock at acceptance, in ms since 1970.
        timeout_ms: Time-out of the job, in ms; 0 for no limit.
        wave: Name under which many jobs can be cancelled together.
        digest: Hash of the submitted body, to detect a resubmission under
            the same id with another body.
        service: Service whose minions answer a request.
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
        attempt: Number of the attempt, from 1, incremented at each start.
    """

    job_id: str
    index: int
    attempt: int
