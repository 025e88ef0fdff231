"""Submissions of callers, and the jobs built from them."""

import hashlib
import time
from typing import Self

import orjson
import pydantic

from hickoryreach.lists import allowances
from hickoryreach.structure import jobs
from hickoryreach_entry.api import access
from hickoryreach_entry.api import job_ids

WAVE_PATTERN = r"^[^/\s]*$"


class Submission(pydantic.BaseModel):
    """Body of a submission."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    request_id: str = pydantic.Field(min_length=1, max_length=200)
    queue: str = pydantic.Field(default="default", max_length=63)
    kind: jobs.Kind = jobs.Kind.BATCH
    command: str = pydantic.Field(min_length=1, max_length=1_000)
    arguments: tuple[str, ...] = ()
    tasks: int = pydantic.Field(default=1, ge=1, le=allowances.TASKS_MAX)
    need: allowances.Amount = allowances.Amount()
    run_time_ms: int = pydantic.Field(
        default=0, ge=0, le=allowances.DURATION_MAX_MS
    )
    idempotent: bool = True
    urgent: bool = False
    preemptible: bool = False
    timeout_ms: int = pydantic.Field(
        default=0, ge=0, le=allowances.DURATION_MAX_MS
    )
    wave: str = pydantic.Field(default="", max_length=200, pattern=WAVE_PATTERN)
    service: str = pydantic.Field(default="", max_length=63)

    @pydantic.model_validator(mode="after")
    def check_kind(self) -> Self:
        """Checks members that only a request needs or may have."""
        if self.kind is jobs.Kind.REQUEST:
            if self.tasks != 1:
                raise ValueError("a request has exactly one task")
            if not self.service:
                raise ValueError("a request names the service that answers it")
        elif self.service:
            raise ValueError("only a request names a service")
        return self


def build_job(
    submission: Submission, caller: access.Caller, shards: int
) -> jobs.Job:
    """Builds the job for a validated submission of a caller."""
    fields = submission.model_dump(exclude={"need"})
    need = submission.need
    if submission.kind is jobs.Kind.REQUEST and not need.slots:
        need = need.model_copy(update={"slots": allowances.REQUEST_SLOTS})
    return jobs.Job(
        **fields,
        job_id=job_ids.make(
            caller.workspace, submission.request_id, shards, caller.open_queue
        ),
        workspace=caller.workspace,
        need=need.to_resources(),
        submitted_ms=int(time.time() * 1000),
        digest=compute_digest(submission),
    )


def compute_digest(submission: Submission) -> str:
    """Returns a hash that is equal for equivalent submissions."""
    fields = submission.model_dump(mode="json")
    data = orjson.dumps(fields, option=orjson.OPT_SORT_KEYS)
    return hashlib.sha256(data).hexdigest()


def build_request_body(job: jobs.Job) -> bytes:
    """Returns the body that is sent to the minion of a request."""
    return orjson.dumps({"arguments": job.arguments})
