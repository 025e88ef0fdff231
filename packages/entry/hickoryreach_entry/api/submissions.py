"""Submissions as callers write them, and the jobs they become."""

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
        """Checks what a request needs and what only a request has."""
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
    """Returns the job for a checked submission of a caller."""
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
        digest=make_digest(submission),
    )


def make_digest(submission: Submission) -> str:
    """Returns a hash that is equal for bodies that mean the same."""
    fields = submission.model_dump(mode="json")
    data = orjson.dumps(fields, option=orjson.OPT_SORT_KEYS)
    return hashlib.sha256(data).hexdigest()


def build_body(job: jobs.Job) -> bytes:
    """Returns the body that a request's minion receives."""
    return orjson.dumps({"arguments": job.arguments})
