"""Keys and values of the cell's records in the store."""

from collections.abc import Iterable
import dataclasses

import orjson
import pydantic
from returns import result

from hickoryreach.platform import minions
from hickoryreach.platform import numbers
from hickoryreach.scheduling import events
from hickoryreach.scheduling import state
from hickoryreach.structure import steps
from hickoryreach_entry.cell import job_checks

OWNER_KEY = "hickoryreach/owner"
JOBS_PREFIX = "hickoryreach/jobs/"
PROGRESS_PREFIX = "hickoryreach/progress/"
MINIONS_KEY = "hickoryreach/minions"
TAKEOVERS_KEY = "hickoryreach/takeovers"
FINAL_PREFIX = b'{"final":'
CANCELLED_ID_PREFIX = b'{"workspaces":'
END = "end"
CANCELLED = "cancelled"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FinalRecord:
    """Record that replaces a job in the store once its state is final.

    Attributes:
        final: The final state.
        workspace: Workspace of the job.
        step_sizes: Sizes of its steps unless it completed, as their runs may
            not have ended yet.
    """

    final: state.JobState
    workspace: str
    step_sizes: tuple[steps.StepSize, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CancelledId:
    """Record of an id that was cancelled while no job was stored under it.

    Attributes:
        workspaces: Workspaces no job of which may be stored under it.
    """

    workspaces: tuple[str, ...]

    def add(self, workspace: str) -> "CancelledId":
        """Returns a record for one more workspace."""
        return CancelledId(workspaces=(*self.workspaces, workspace))


StoredRecord = steps.Job | FinalRecord | CancelledId

_final_adapter = pydantic.TypeAdapter(FinalRecord)
_cancelled_id_adapter = pydantic.TypeAdapter(CancelledId)
_job_adapter = pydantic.TypeAdapter(steps.Job)
_rows_adapter = pydantic.TypeAdapter(list[object])


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Ownership:
    """Value of the owner's key.

    Attributes:
        name: Name of the owner.
        address: `host:port` at which peers reach the owner.
        epoch: Number of the ownership; each takeover adds one.
    """

    name: str
    address: str
    epoch: int


_ownership_adapter = pydantic.TypeAdapter(Ownership)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Takeovers:
    """Value of the takeovers' key.

    Attributes:
        incarnations: Start of the present incarnation of each minion, in ms
            since 1970, by id.
        hiding_ms: When takeovers may have hidden crashes of minions, in ms
            since 1970, the oldest first.
        hiding_epochs: Epochs that these takeovers began; none in a record of
            an earlier version.
    """

    incarnations: dict[str, int] = dataclasses.field(default_factory=dict)
    hiding_ms: tuple[int, ...] = ()
    hiding_epochs: tuple[int, ...] = ()


_takeovers_adapter = pydantic.TypeAdapter(Takeovers)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Row:
    """Row of the progress: the end of a task's run, or a cancelled job.

    Attributes:
        kind: `END` or `CANCELLED`.
        job_id: The job.
        end: The end of the run; None for `CANCELLED`.
    """

    kind: str
    job_id: str
    end: events.RecordedEnd | None = None


def encode_job(job: steps.Job) -> bytes:
    """Returns the stored value of a job."""
    return orjson.dumps(job)


def decode_job(data: bytes) -> result.Result[steps.Job, str]:
    """Returns the job in a value, or why the value is invalid."""
    try:
        job = _job_adapter.validate_json(data)
    except pydantic.ValidationError as error:
        return result.Failure(str(error.errors(include_input=False)[:2]))
    fault = job_checks.find_fault(job)
    return result.Failure(fault) if fault else result.Success(job)


def list_sizes(job: steps.Job) -> tuple[steps.StepSize, ...]:
    """Returns the sizes of a job's steps, with the tasks of all repeats."""
    return tuple(
        steps.StepSize(
            count=step.count * max(1, job.repeats),
            need=step.need,
            filler=step.filler,
        )
        for step in job.steps
    )


def encode_final(final: FinalRecord) -> bytes:
    """Returns the value that replaces a job's once its state is final."""
    return orjson.dumps(final)


def encode_cancelled_id(cancelled: CancelledId) -> bytes:
    """Returns the value of an id that was cancelled without a job."""
    return orjson.dumps(cancelled)


def decode_stored_job(data: bytes) -> result.Result[StoredRecord, str]:
    """Returns what is stored under a job's key, or why it is invalid."""
    if data.startswith(FINAL_PREFIX):
        adapter = _final_adapter
    elif data.startswith(CANCELLED_ID_PREFIX):
        adapter = _cancelled_id_adapter
    else:
        return decode_job(data)
    try:
        return result.Success(adapter.validate_json(data))
    except pydantic.ValidationError as error:
        return result.Failure(str(error.errors(include_input=False)[:2]))


def encode_ownership(ownership: Ownership) -> bytes:
    """Returns the value of the owner's key."""
    return orjson.dumps(ownership)


def decode_ownership(data: bytes | None) -> Ownership | None:
    """Returns the ownership in a value, or None if it holds no valid one."""
    if not data:
        return None
    try:
        return _ownership_adapter.validate_json(data)
    except pydantic.ValidationError:
        return None


def encode_takeovers(takeovers: Takeovers) -> bytes:
    """Returns the value of the takeovers' key."""
    return orjson.dumps(takeovers, option=orjson.OPT_SORT_KEYS)


def decode_takeovers(data: bytes | None) -> result.Result[Takeovers, str]:
    """Returns the takeovers in a value, or why it is invalid."""
    if data is None:
        return result.Success(Takeovers())
    try:
        return result.Success(_takeovers_adapter.validate_json(data))
    except pydantic.ValidationError as error:
        return result.Failure(str(error.errors(include_input=False)[:2]))


def encode_minion_ids(minion_ids: Iterable[str]) -> bytes:
    """Returns the value that lists the known minions."""
    return orjson.dumps(sorted(minion_ids))


def decode_minion_ids(data: bytes | None) -> tuple[list[str], str]:
    """Returns the known minions in a value, and why others are unreadable.

    Returns:
        The readable ids, and the reason; an empty one if all are readable.
    """
    if data is None:
        return [], ""
    try:
        rows = _rows_adapter.validate_json(data)
    except pydantic.ValidationError as error:
        return [], str(error.errors(include_input=False)[:2])
    minion_ids = [row for row in rows if isinstance(row, str)]
    if len(minion_ids) < len(rows):
        return minion_ids, f"{len(rows) - len(minion_ids)} ids are no text"
    return minion_ids, ""


def build_job_key(job_id: str) -> str:
    """Returns the store key of a job."""
    return JOBS_PREFIX + job_id


def build_progress_key(epoch: int, number: int) -> str:
    """Returns the store key of a part of the progress."""
    return f"{PROGRESS_PREFIX}{epoch:08d}/{number:08d}"


def encode_rows(rows: Iterable[Row]) -> bytes:
    """Returns the stored value of a part of the progress."""
    return orjson.dumps([_encode_row(row) for row in rows])


def _encode_row(row: Row) -> list:
    if row.end is None:
        return [row.kind, row.job_id]
    unproven = [] if row.end.proven else [False]
    return [
        row.kind,
        minions.format_task(row.end.key),
        row.end.number,
        str(row.end.kind),
        row.end.checkpoint,
        *unproven,
    ]


def decode_rows(data: bytes) -> list[result.Result[Row, str]]:
    """Returns each row in a part of the progress, or why it is unreadable.

    A part that is no list counts as one unreadable row.
    """
    try:
        rows = orjson.loads(data)
    except ValueError as error:
        return [result.Failure(str(error))]
    if not isinstance(rows, list):
        return [result.Failure("a part must be a list of rows")]
    return [_decode_row(row) for row in rows]


def _decode_row(row: list) -> result.Result[Row, str]:
    try:
        return result.Success(_parse_row(row))
    except (ArithmeticError, LookupError, TypeError, ValueError) as error:
        return result.Failure(f"{type(error).__name__}: {error}")


def _parse_row(row: list) -> Row:
    kind, name = row[0], row[1]
    if not isinstance(name, str) or kind not in (END, CANCELLED):
        raise ValueError("a row must hold its kind and a name")
    if kind == CANCELLED:
        return Row(kind=CANCELLED, job_id=name)
    key = minions.parse_task(name)
    number, end_kind, checkpoint = row[2], row[3], row[4]
    if not isinstance(number, int):
        raise TypeError("the number of a run must be whole")
    return Row(
        kind=END,
        job_id=key.job_id,
        end=events.RecordedEnd(
            key=key,
            number=numbers.parse_whole(number),
            kind=minions.EndKind(end_kind),
            checkpoint=str(checkpoint or ""),
            proven=row[5:6] != [False],
        ),
    )
