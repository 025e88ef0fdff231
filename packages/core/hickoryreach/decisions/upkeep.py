"""Slow checks that run a few times a second at most."""

from collections.abc import Iterator

from hickoryreach.decisions import effects
from hickoryreach.decisions import estimates
from hickoryreach.decisions import matching
from hickoryreach.decisions import ordering
from hickoryreach.decisions import outcomes
from hickoryreach.decisions import records
from hickoryreach.decisions import state
from hickoryreach.structure import jobs

RESCAN_MS = 500
JOBS_PER_SCAN = 200


def run(shard: state.ShardState) -> Iterator[effects.Effect]:
    """Forgets old jobs, refreshes parts of the cell, ends impossible work."""
    outcomes.forget(shard)
    if shard.now_ms < shard.rescan_ms:
        return
    shard.rescan_ms = shard.now_ms + RESCAN_MS
    if shard.totals_changed:
        _renew_parts(shard)
    matching.compact(shard)
    yield from _end_misfits(shard)


def _renew_parts(shard: state.ShardState) -> None:
    shard.totals_changed = False
    for workspace in shard.workspaces.values():
        workspace.part = workspace.used.dominant_share(shard.total)
    ordering.reorder(shard)


def _end_misfits(shard: state.ShardState) -> Iterator[effects.Effect]:
    if not shard.workers:
        return
    yield from _end_misfit_gangs(shard)
    for lane in list(shard.lanes.values()):
        if not lane.blocked:
            continue
        if estimates.fits_a_worker(shard, lane.need, lane.pool):
            lane.misfit_ms = -1
        elif lane.misfit_ms < 0:
            lane.misfit_ms = shard.now_ms
        elif _is_overdue(shard, lane.misfit_ms):
            yield from _end_lane(shard, lane)


def _end_misfit_gangs(shard: state.ShardState) -> Iterator[effects.Effect]:
    for job_id, record in list(shard.misfits.items()):
        if record.state.is_final:
            del shard.misfits[job_id]
        elif record.misfit_ms < 0:
            record.misfit_ms = shard.now_ms
        elif _is_overdue(shard, record.misfit_ms):
            del shard.misfits[job_id]
            yield from refuse(shard, record)


def _is_overdue(shard: state.ShardState, since_ms: int) -> bool:
    return shard.now_ms - since_ms >= shard.settings.impossible_ms


def _end_lane(
    shard: state.ShardState, lane: records.Lane
) -> Iterator[effects.Effect]:
    queues = {id(queue): queue for _, _, queue in lane.queues}
    for queue in queues.values():
        if queue.lane is not lane:
            continue
        ordering.resize(shard, queue)
        if queue.lane is not lane:
            continue
        for _, record in queue.jobs[:JOBS_PER_SCAN]:
            if record.queue is queue and not record.running:
                yield from refuse(shard, record)


def refuse(
    shard: state.ShardState, record: records.JobRecord
) -> Iterator[effects.Effect]:
    """Ends a job that no worker can run any more."""
    if record.state.is_final:
        return
    final = jobs.JobState.FAILED
    if record.ran is jobs.ExecutionStatus.NOT_RUN:
        final = jobs.JobState.REFUSED
    elif record.ran is jobs.ExecutionStatus.UNKNOWN:
        final = jobs.JobState.UNKNOWN
    yield from outcomes.finish(
        shard,
        record,
        final,
        reason="impossible",
        detail="No worker is large enough for one task of this job.",
    )
