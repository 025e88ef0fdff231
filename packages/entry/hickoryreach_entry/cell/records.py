"""What the cell keeps in the store, in our own format."""

from collections.abc import Iterable
import dataclasses

import orjson
import pydantic
from returns import result

from hickoryreach.platform import minions
from hickoryreach.scheduling import events
from hickoryreach.scheduling import state
from hickoryreach.structure import steps

OWNER_KEY = "hickoryreach/owner"
JOBS_PREFIX = "hickoryreach/jobs/"
PROGRESS_PREFIX = "hickoryreach/progress/"
MINIONS_KEY = "hickoryreach/minions"
FINAL_PREFIX = b'{"final":'
END = "end"
CANCELLED = "cancelled"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FinalRecord:
    """What is left of a job in its final state.

    Attributes:
        final: The state.
        workspace: Whose job it was.
    """

    final: state.JobState
    workspace: str


_finals = pydantic.TypeAdapter(FinalRecord)
_jobs = pydantic.TypeAdapter(steps.Job)
_names = pydantic.TypeAdapter(list[str])


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Ownership:
    """Who owns the cell.

    Attributes:
        name: Name of the owner.
        address: `host:port` at which peers reach it.
        epoch: Number of the ownership; each takeover adds one.
    """

    name: str
    address: str
    epoch: int


_ownerships = pydantic.TypeAdapter(Ownership)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Row:
    """A row of the progress: an end of a task, or a cancelled job.

    Attributes:
        kind: END or CANCELLED.
        job_id: The job.
        end: The end, for END.
    """

    kind: str
    job_id: str
    end: events.RecordedEnd | None = None


def encode_job(job: steps.Job) -> bytes:
    """Returns the value under which a job is kept."""
    return orjson.dumps(job)


def decode_job(data: bytes) -> result.Result[steps.Job, str]:
    """Returns the job in a value, or why it can't be read."""
    try:
        return result.Success(_jobs.validate_json(data))
    except pydantic.ValidationError as error:
        return result.Failure(str(error.errors(include_input=False)[:2]))


def encode_final(final: FinalRecord) -> bytes:
    """Returns the value that takes the place of a job's in a final state."""
    return orjson.dumps(final)


def decode_stored_job(
    data: bytes,
) -> result.Result[steps.Job | FinalRecord, str]:
    """Returns the job in a value, or what is left of it in a final state."""
    if not data.startswith(FINAL_PREFIX):
        return decode_job(data)
    try:
        return result.Success(_finals.validate_json(data))
    except pydantic.ValidationError as error:
        return result.Failure(str(error.errors(include_input=False)[:2]))


def encode_ownership(ownership: Ownership) -> bytes:
    """Returns the value that names the owner."""
    return orjson.dumps(ownership)


def decode_ownership(data: bytes | None) -> Ownership | None:
    """Returns the owner in a value, or None if it names none."""
    if not data:
        return None
    try:
        return _ownerships.validate_json(data)
    except pydantic.ValidationError:
        return None


def encode_minion_ids(names: Iterable[str]) -> bytes:
    """Returns the value that lists minions."""
    return orjson.dumps(sorted(names))


def decode_minion_ids(data: bytes | None) -> result.Result[list[str], str]:
    """Returns the minions in a value; none if there is no value."""
    if not data:
        return result.Success([])
    try:
        return result.Success(_names.validate_json(data))
    except pydantic.ValidationError as error:
        return result.Failure(str(error.errors(include_input=False)[:2]))


def build_job_key(job_id: str) -> str:
    """Returns the key of a job."""
    return JOBS_PREFIX + job_id


def build_progress_key(epoch: int, number: int) -> str:
    """Returns the key of a part of the progress."""
    return f"{PROGRESS_PREFIX}{epoch:08d}/{number:08d}"


def encode_rows(rows: Iterable[Row]) -> bytes:
    """Returns the value of a part of the progress."""
    return orjson.dumps([_encode_row(row) for row in rows])


def _encode_row(row: Row) -> list:
    if row.end is None:
        return [row.kind, row.job_id]
    return [
        row.kind,
        minions.format_task(row.end.key),
        row.end.number,
        str(row.end.kind),
        row.end.checkpoint,
    ]


def decode_rows(data: bytes) -> result.Result[list[Row], str]:
    """Returns the rows in a part of the progress, or why it can't be read."""
    try:
        return result.Success([_decode_row(row) for row in orjson.loads(data)])
    except (ValueError, IndexError, TypeError) as error:
        return result.Failure(f"{type(error).__name__}: {error}")


def _decode_row(row: list) -> Row:
    if row[0] == CANCELLED:
        return Row(kind=CANCELLED, job_id=row[1])
    key = minions.parse_task(row[1])
    return Row(
        kind=END,
        job_id=key.job_id,
        end=events.RecordedEnd(
            key=key,
            number=row[2],
            kind=minions.EndKind(row[3]),
            checkpoint=row[4],
        ),
    )
