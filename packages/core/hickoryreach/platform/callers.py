"""Request and response bodies of the callers' interface."""

import enum

import pydantic
from returns import result

from hickoryreach.platform import documents
from hickoryreach.structure import cells
from hickoryreach.structure import resources
from hickoryreach.structure import steps

JOB_ID_LENGTH = 16
AUTHORIZATION_SCHEME = "Token "
PAYLOAD_LIMIT_BYTES = 4_000
TASKS_LIMIT = 100_000  # starts of one job, those of all repeats included
STEPS_LIMIT = 1_000  # likewise, unless the settings state another
MAX_STEPS = "max_steps"


class State(enum.StrEnum):
    """States of a job as callers see them."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class StepRow(documents.Document):
    """A step of a submitted job; `fills` marks a filler step."""

    count: int = pydantic.Field(default=1, ge=1, le=TASKS_LIMIT)
    cpu: documents.Count = 0
    mem_mb: documents.Count = 0
    gpu: documents.Count = 0
    estimate_ms: float = pydantic.Field(
        default=0, ge=0, le=documents.MAX_AMOUNT
    )
    after: list[int] = []
    saves_progress: bool = False
    gang: bool = False
    same_rack: bool = False
    requires: str = ""
    affinity: str = ""
    anti_affinity: documents.Count = 0
    speculative: bool = False
    persistent: bool = False
    image: str = ""
    target_ms: documents.Count = 0
    fills: bool = False
    may_miss: documents.Count = 0

    def decode(self) -> steps.Step:
        """Returns the step as the scheduler represents it."""
        return steps.Step(
            count=self.count,
            need=resources.Resources(
                cpu_millis=self.cpu,
                memory_mb=self.mem_mb,
                accelerators=self.gpu,
            ),
            estimate_ms=int(self.estimate_ms),
            after=tuple(self.after),
            saves=self.saves_progress,
            gang=self.gang,
            same_rack=self.same_rack,
            label=self.requires,
            rack=self.affinity,
            minion_limit=self.anti_affinity,
            speculative=self.speculative,
            lasting=self.persistent,
            image=self.image,
            latency_limit_ms=self.target_ms,
            filler=self.fills,
            away_limit=self.may_miss,
        )


class JobBody(documents.Document):
    """A submitted job."""

    spec: str
    steps: list[StepRow] = pydantic.Field(min_length=1)
    repeats: documents.Count = 0
    first_run_ms: documents.Count = 0
    interval_ms: documents.Count = 0

    @pydantic.field_validator("steps", mode="before")
    @classmethod
    def check_length(
        cls, value: object, info: pydantic.ValidationInfo
    ) -> object:
        """Checks the number of steps before any of them is read.

        Raises:
            ValueError: There are too many.
        """
        limit = get_max_steps(info)
        if isinstance(value, list) and len(value) > limit:
            raise ValueError(f"must have at most {limit} steps")
        return value

    @pydantic.model_validator(mode="after")
    def check_order(self, info: pydantic.ValidationInfo) -> "JobBody":
        """Checks the order of the steps, and the size of the job.

        Raises:
            ValueError: A step names a later step or itself in `after`, there
                are too many tasks or steps, or `spec` is too large.
        """
        limit = get_max_steps(info)
        if len(self.steps) * max(1, self.repeats) > limit:
            raise ValueError(
                f"steps: must be at most {limit}, those of all repeats included"
            )
        tasks = sum(row.count for row in self.steps) * max(1, self.repeats)
        if tasks > TASKS_LIMIT:
            raise ValueError(f"steps: must have at most {TASKS_LIMIT} tasks")
        for position, row in enumerate(self.steps):
            if any(not 0 <= each < position for each in row.after):
                raise ValueError(
                    f"steps.{position}.after: must name earlier steps"
                )
        if len(self.spec.encode()) > PAYLOAD_LIMIT_BYTES:
            raise ValueError(
                f"spec: must have at most {PAYLOAD_LIMIT_BYTES} bytes"
            )
        return self


def get_max_steps(info: pydantic.ValidationInfo) -> int:
    """Returns the most steps that a job may have."""
    return (info.context or {}).get(MAX_STEPS, STEPS_LIMIT)


def parse_job(
    data: bytes, max_steps: int = STEPS_LIMIT
) -> result.Result[JobBody, str]:
    """Returns the job in a request body, or what the caller must change."""
    try:
        return result.Success(
            JobBody.model_validate_json(data, context={MAX_STEPS: max_steps})
        )
    except pydantic.ValidationError as error:
        return result.Failure(documents.describe_faults(error))


def build_job(
    body: JobBody,
    *,
    job_id: str,
    workspace: str,
    queue: cells.Queue,
    accepted_ms: int,
) -> steps.Job:
    """Returns the job that a request body describes.

    Args:
        body: The request body.
        job_id: Id of the job.
        workspace: Workspace that submits the job.
        queue: Queue that the job is submitted to.
        accepted_ms: Time of the submission, in ms since 1970.
    """
    return steps.Job(
        job_id=job_id,
        workspace=workspace,
        queue=queue,
        payload=body.spec,
        steps=tuple(row.decode() for row in body.steps),
        accepted_ms=accepted_ms,
        repeats=body.repeats,
        first_ms=body.first_run_ms,
        interval_ms=body.interval_ms,
    )


def is_job_id(text: str) -> bool:
    """Returns whether a text has the form of a job id."""
    return len(text) == JOB_ID_LENGTH and all(
        letter in "0123456789abcdef" for letter in text
    )


def parse_api_key(authorization: str | None) -> str:
    """Returns the API key in an Authorization header, or an empty string."""
    if authorization and authorization.startswith(AUTHORIZATION_SCHEME):
        return authorization.removeprefix(AUTHORIZATION_SCHEME).strip()
    return ""


def format_state(state: State) -> dict[str, str]:
    """Returns the response body for the state of a job."""
    return {"state": str(state)}


def format_pending(count: int) -> dict[str, int]:
    """Returns the response body for the number of pending jobs."""
    return {"pending": count}
