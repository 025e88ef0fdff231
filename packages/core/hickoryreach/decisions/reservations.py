"""Room kept on workers for gangs and for urgent tasks."""

from hickoryreach.decisions import ledger
from hickoryreach.decisions import ordering
from hickoryreach.decisions import records
from hickoryreach.decisions import state
from hickoryreach.structure import resources


def keep_for_gang(
    shard: state.ShardState,
    record: records.JobRecord,
    worker: records.WorkerRecord,
    count: int,
) -> None:
    """Keeps room for `count` more tasks of a gang on a worker."""
    gang = record.gang
    worker_id = worker.worker.worker_id
    previous = gang.claims.pop(worker_id, None)
    total = count
    if previous is not None:
        total += previous.count
        ledger.unclaim(shard, previous)
    kept = records.Claim(
        record=record, worker_id=worker_id, need=gang.need, count=total
    )
    gang.claims[worker_id] = kept
    gang.gathered += count
    ledger.claim(shard, worker, kept)


def keep_for_task(
    shard: state.ShardState,
    record: records.JobRecord,
    worker: records.WorkerRecord,
    need: resources.Resources,
) -> records.Claim:
    """Keeps room on a worker that other tasks are about to leave."""
    kept = records.Claim(
        record=record,
        worker_id=worker.worker.worker_id,
        need=need,
        pending=True,
        charged=record.gang is None,
    )
    record.claims.append(kept)
    if kept.charged:
        workspace = ledger.get_workspace(shard, record.job.workspace)
        workspace.claimed = workspace.claimed + need
    ledger.claim(shard, worker, kept)
    return kept


def drop(shard: state.ShardState, kept: records.Claim) -> None:
    """Gives up room kept, once."""
    if kept.pending:
        _drop_pending(shard, kept)
        return
    gang = kept.record.gang
    if gang is not None and gang.claims.get(kept.worker_id) is kept:
        del gang.claims[kept.worker_id]
        gang.gathered -= kept.count
        ledger.unclaim(shard, kept)


def _drop_pending(shard: state.ShardState, kept: records.Claim) -> None:
    record = kept.record
    if kept not in record.claims:
        return
    record.claims.remove(kept)
    if kept.charged:
        workspace = ledger.get_workspace(shard, record.job.workspace)
        workspace.claimed = workspace.claimed - kept.need
        ledger.promote(shard, workspace)
    ledger.unclaim(shard, kept)


def drop_worker(shard: state.ShardState, worker: records.WorkerRecord) -> None:
    """Gives up all room kept on a worker that takes no more work."""
    for kept in list(worker.claims):
        drop(shard, kept)
        gang = kept.record.gang
        if gang is not None and gang.lane is not None:
            ordering.activate(shard, gang.lane)
        record = kept.record
        if record.job.urgent and not record.state.is_final:
            shard.lacking[record.job.job_id] = record


def trim(shard: state.ShardState, record: records.JobRecord) -> None:
    """Gives up room for tasks that have started elsewhere."""
    while len(record.claims) > len(record.waiting):
        drop(shard, record.claims[-1])
