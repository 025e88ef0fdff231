"""What minions list of jobs that the owner has not been told of.

Such a job may be kept all the same: an earlier owner may have started it
after this one had read the jobs. The store is asked before anything of it
is stopped or acknowledged.
"""

from collections.abc import Iterator

from hickoryreach.platform import minions
from hickoryreach.scheduling import effects
from hickoryreach.scheduling import events
from hickoryreach.scheduling import lifecycle
from hickoryreach.scheduling import state


def is_unknown(cell: state.CellState, job_id: str) -> bool:
    """Returns whether a job is not known to be kept or over."""
    if job_id in cell.ended_job_ids:
        return False
    record = cell.jobs.get(job_id)
    return record is None or not record.kept


def request_job(cell: state.CellState, job_id: str) -> Iterator[effects.Effect]:
    """Asks the store for a job, once."""
    if job_id not in cell.deferred_ends:
        cell.deferred_ends[job_id] = []
        yield effects.FindStoredJob(job_id=job_id)


def hold(
    cell: state.CellState, minion: state.MinionRecord, end: minions.TaskEnd
) -> Iterator[effects.Effect]:
    """Leaves an end unacknowledged until its job is found or absent."""
    yield from request_job(cell, end.key.job_id)
    cell.deferred_ends[end.key.job_id].append(
        state.DeferredEnd(
            minion_id=minion.minion.minion_id,
            incarnation=minion.incarnation,
            end=end,
        )
    )


def list_orphaned_runs(
    cell: state.CellState, job_id: str
) -> list[tuple[state.MinionRecord, state.Run]]:
    """Returns the runs of a job that belong to no step."""
    return [
        (minion, run)
        for minion in cell.minions.values()
        for run in minion.runs.values()
        if run.step is None and run.key.job_id == job_id
    ]


def handle_not_found(
    cell: state.CellState, event: events.JobNotFound
) -> Iterator[effects.Effect]:
    """Stops and acknowledges what is listed of a job that is not kept."""
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
