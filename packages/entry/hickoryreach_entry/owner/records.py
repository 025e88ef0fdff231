"""Records of a shard's journal."""

import dataclasses
from typing import Annotated
from typing import Literal

import orjson
import pydantic

from hickoryreach.structure import jobs


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OwnerTook:
    """An owner took the shard, or raised its term."""

    owner: str
    term: int
    type: Literal["owner_took"] = "owner_took"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OwnerProved:
    """The owner still had the shard when this was written."""

    type: Literal["owner_proved"] = "owner_proved"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class OwnerReleased:
    """The owner gave the shard up; nothing of it is under way."""

    owner: str
    type: Literal["owner_released"] = "owner_released"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class WorkersChanged:
    """The set of workers whose grants are counted."""

    worker_ids: tuple[str, ...]
    type: Literal["workers_changed"] = "workers_changed"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JobAccepted:
    """A job was accepted."""

    job: jobs.Job
    type: Literal["job_accepted"] = "job_accepted"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class IntentRecorded:
    """A non-idempotent attempt is about to be sent.

    Attributes:
        key: The attempt.
        worker_id: Where it is to run.
        entry: Entry that is to send it, if it is a request.
    """

    key: jobs.TaskKey
    worker_id: str
    entry: str = ""
    type: Literal["intent_recorded"] = "intent_recorded"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class IntentVoided:
    """An attempt whose intent is recorded was not carried out."""

    key: jobs.TaskKey
    type: Literal["intent_voided"] = "intent_voided"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TaskSettled:
    """A task reached its final result."""

    key: jobs.TaskKey
    result: jobs.TaskResult
    type: Literal["task_settled"] = "task_settled"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JobFinished:
    """A job reached a final state.

    Attributes:
        job_id: The job.
        state: Its final state.
        ran: Whether any of it was carried out.
        reason: Short machine-readable cause.
        detail: One sentence for people.
        status: HTTP status of a request's answer, or 0.
        answer: A small answer, as text.
        answer_digest: SHA-256 of an answer that is too large to keep.
        digest: Hash of the submitted body.
        workspace: The workspace.
        idempotent: Whether a repeat of it could do harm.
        finished_ms: Wall clock at its end, in ms since the epoch.
    """

    job_id: str
    state: jobs.JobState
    ran: jobs.ExecutionStatus
    reason: str = ""
    detail: str = ""
    status: int = 0
    answer: str = ""
    answer_digest: str = ""
    digest: str = ""
    workspace: str = ""
    idempotent: bool = True
    tasks: int = 1
    tasks_done: int = 0
    tasks_failed: int = 0
    finished_ms: int = 0
    type: Literal["job_finished"] = "job_finished"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class JobKept:
    """All that earlier segments tell of a job, so that they may go.

    Attributes:
        job: The job; None once it has finished.
        done: Indexes that succeeded, as ranges from first to past the last.
        failed: Indexes that ended otherwise, as such ranges.
        intents: Last attempt about to be sent, by index.
        finished: Its final record, if any.
    """

    job: jobs.Job | None = None
    done: tuple[tuple[int, int], ...] = ()
    failed: tuple[tuple[int, int], ...] = ()
    intents: tuple[IntentRecorded, ...] = ()
    finished: JobFinished | None = None
    type: Literal["job_kept"] = "job_kept"


Record = Annotated[
    OwnerTook
    | OwnerProved
    | OwnerReleased
    | WorkersChanged
    | JobAccepted
    | IntentRecorded
    | IntentVoided
    | TaskSettled
    | JobFinished
    | JobKept,
    pydantic.Field(discriminator="type"),
]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Segment:
    """Records written by one compare-and-swap.

    Attributes:
        token: Unique to the writer and the write; settles a lost answer.
        owner: Name of the writer.
        term: Term of the writer.
        records: The records, in order.
    """

    token: str
    owner: str = ""
    term: int = 0
    records: tuple[Record, ...] = ()


segment_type = pydantic.TypeAdapter(Segment)


def encode(record: Record) -> bytes:
    """Returns a record as it stands in a segment."""
    return orjson.dumps(record)


def encode_segment(header: Segment, rows: list[bytes]) -> bytes:
    """Returns a segment made of encoded records."""
    return orjson.dumps(
        {
            "token": header.token,
            "owner": header.owner,
            "term": header.term,
            "records": [orjson.Fragment(row) for row in rows],
        }
    )
