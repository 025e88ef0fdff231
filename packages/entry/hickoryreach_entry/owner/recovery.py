"""Turns a journal back into the jobs that a new owner takes over."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses

from hickoryreach.decisions import events
from hickoryreach.structure import jobs
from hickoryreach_entry.owner import records


@dataclasses.dataclass(kw_only=True, slots=True)
class Progress:
    """What the journal tells of one job.

    Attributes:
        job: The job, once its acceptance was read.
        done: Indexes that succeeded.
        failed: Indexes that ended otherwise.
        intents: Attempts about to be sent, by index.
        finished: Its final record, if any.
    """

    job: jobs.Job | None = None
    done: set[int] = dataclasses.field(default_factory=set)
    failed: set[int] = dataclasses.field(default_factory=set)
    intents: dict[int, jobs.TaskKey] = dataclasses.field(default_factory=dict)
    finished: records.JobFinished | None = None


def read_progress(
    journal: Iterable[records.Record],
) -> dict[str, Progress]:
    """Returns the progress of every job in the journal, by job id."""
    found: dict[str, Progress] = {}
    for record in journal:
        if isinstance(record, records.JobAccepted):
            progress = found.setdefault(record.job.job_id, Progress())
            progress.job = record.job
        elif isinstance(record, records.IntentRecorded):
            progress = found.setdefault(record.key.job_id, Progress())
            progress.intents[record.key.index] = record.key
        elif isinstance(record, records.TaskSettled):
            progress = found.setdefault(record.key.job_id, Progress())
            settle(progress, record)
        elif isinstance(record, records.JobFinished):
            progress = found.setdefault(record.job_id, Progress())
            progress.finished = record
    return found


def settle(progress: Progress, record: records.TaskSettled) -> None:
    """Notes the final result of one index."""
    index = record.key.index
    if record.result is jobs.TaskResult.SUCCEEDED:
        progress.done.add(index)
    else:
        progress.failed.add(index)


def restore_jobs(
    found: dict[str, Progress], hold_until_ms: int
) -> Iterator[events.JobRestored]:
    """Yields an event for each job that has not finished."""
    for progress in found.values():
        if progress.job is None or progress.finished is not None:
            continue
        settled = progress.done | progress.failed
        yield events.JobRestored(
            job=progress.job,
            done=tuple(sorted(progress.done)),
            failed=tuple(sorted(progress.failed)),
            unclear=tuple(
                key
                for index, key in sorted(progress.intents.items())
                if index not in settled
            ),
            attempts=tuple(
                (index, key.attempt)
                for index, key in sorted(progress.intents.items())
            ),
            hold_until_ms=hold_until_ms,
        )
