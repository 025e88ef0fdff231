"""Records of a shard's journal."""

import dataclasses
from typing import Annotated
from typing import Literal

import pydantic

from hickoryreach.structure import jobs


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OwnerTook:
    """An owner took the shard; its sequence number is the owner's term."""

    owner: str
    token: str
    type: Literal["owner_took"] = "owner_took"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JobAccepted:
    """A job was accepted."""

    job: jobs.Job
    type: Literal["job_accepted"] = "job_accepted"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class IntentRecorded:
    """A non-idempotent attempt is about to be sent."""

    key: jobs.TaskKey
    worker_id: str
    type: Literal["intent_recorded"] = "intent_recorded"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TaskSettled:
    """A task reached its final result."""

    key: jobs.TaskKey
    result: jobs.TaskResult
    type: Literal["task_settled"] = "task_settled"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JobFinished:
    """A job reached a final state."""

    job_id: str
    state: jobs.JobState
    ran: jobs.Ran
    reason: str = ""
    detail: str = ""
    status: int = 0
    answer: str = ""
    type: Literal["job_finished"] = "job_finished"


Record = Annotated[
    OwnerTook | JobAccepted | IntentRecorded | TaskSettled | JobFinished,
    pydantic.Field(discriminator="type"),
]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Segment:
    """Records written by one compare-and-swap.

    Attributes:
        token: Unique to the writer and the write; settles a lost answer.
        records: The records, in order.
    """

    token: str
    records: tuple[Record, ...]


segment_type = pydantic.TypeAdapter(Segment)
