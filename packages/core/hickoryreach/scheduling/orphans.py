"""Runs and ends of jobs that the owner does not know.

Such a job may still be in the store, because an earlier owner may have started
it after this owner read the jobs. The store is therefore asked before its runs
are stopped or its ends acknowledged.
"""

from collections.abc import Iterator

from hickoryreach.platform import minions
from hickoryreach.scheduling import effects
from hickoryreach.scheduling import events
from hickoryreach.scheduling import lifecycle
from hickoryreach.scheduling import minion_records
from hickoryreach.scheduling import predecessors
from hickoryreach.scheduling import state


def is_unknown(cell: state.CellState, job_id: str) -> bool:
    """Returns whether a job is known neither as stored nor as ended."""
    if job_id in cell.ended_jobs:
        return False
    record = cell.jobs.get(job_id)
    return record is None or not record.kept


def request_job(cell: state.CellState, job_id: str) -> Iterator[effects.Effect]:
    """Looks a job up in the store unless a look-up is under way."""
    if job_id not in cell.deferred_ends:
        cell.deferred_ends[job_id] = []
        yield effects.FindStoredJob(job_id=job_id)


def hold(
    cell: state.CellState,
    minion: minion_records.MinionRecord,
    end: minions.TaskEnd,
) -> Iterator[effects.Effect]:
    """Defers an end until the store has answered whether its job exists."""
    yield from request_job(cell, end.key.job_id)
    cell.deferred_ends[end.key.job_id].append(
        predecessors.DeferredEnd(
            minion_id=minion.minion.minion_id,
            incarnation=minion.incarnation,
            end=end,
        )
    )


def list_orphaned_runs(
    cell: state.CellState, job_id: str
) -> list[tuple[minion_records.MinionRecord, state.Run]]:
    """Returns the runs of a job that are not attached to a step."""
    return [
        (minion, run)
        for minion in cell.minions.values()
        for run in minion.runs.values()
        if run.step is None and run.key.job_id == job_id
    ]


def handle_not_found(
    cell: state.CellState, event: events.JobNotFound
) -> Iterator[effects.Effect]:
    """Acknowledges the ends and stops the runs of a job not in the store."""
    if not is_unknown(cell, event.job_id):
        return
    for deferred in cell.deferred_ends.pop(event.job_id, ()):
        yield effects.AcknowledgeEnd(
            minion_id=deferred.minion_id,
            incarnation=deferred.incarnation,
            end=deferred.end,
            must_store=False,
        )
    for _, run in list_orphaned_runs(cell, event.job_id):
        yield from lifecycle.stop(cell, run, "unwanted")
