"""Accounts of what is set aside on workers and for workspaces."""

from hickoryreach.decisions import capacity
from hickoryreach.decisions import limits
from hickoryreach.decisions import ordering
from hickoryreach.decisions import records
from hickoryreach.decisions import state
from hickoryreach.structure import jobs
from hickoryreach.structure import resources
from hickoryreach.structure import workspaces

OFFER_ALL_LIMIT = 256


def get_workspace(
    shard: state.ShardState, name: str
) -> records.WorkspaceRecord:
    """Returns a workspace; one that has no plan may start nothing."""
    record = shard.workspaces.get(name)
    if record is None:
        record = records.WorkspaceRecord(
            entitlement=workspaces.Entitlement(workspace=name), allowed=False
        )
        shard.workspaces[name] = record
    return record


def hold(
    shard: state.ShardState,
    worker: records.WorkerRecord,
    attempt: records.Attempt,
) -> None:
    """Sets aside what an attempt holds."""
    worker.attempts[attempt.key] = attempt
    worker.free = worker.free - attempt.held
    if attempt.preemptible:
        worker.reclaimable = worker.reclaimable + attempt.held
        workspace = get_workspace(shard, attempt.workspace)
        workspace.preemptible[attempt.key] = attempt
    if attempt.workspace:
        _change_used(shard, attempt.workspace, attempt.held, add=True)
    refresh(shard, worker)


def release(shard: state.ShardState, attempt: records.Attempt) -> None:
    """Gives back what an attempt held, once."""
    worker = shard.workers.get(attempt.worker_id)
    if worker is None or worker.attempts.pop(attempt.key, None) is None:
        return
    worker.free = worker.free + attempt.held
    if attempt.preemptible:
        worker.reclaimable = worker.reclaimable - attempt.held
    if attempt.workspace:
        workspace = get_workspace(shard, attempt.workspace)
        workspace.preemptible.pop(attempt.key, None)
        workspace.yielding.pop(attempt.key, None)
        _change_used(shard, attempt.workspace, attempt.held, add=False)
    refresh(shard, worker)
    for kept in worker.claims:
        if kept.pending:
            shard.ready.append(kept)


def resize(
    shard: state.ShardState,
    worker: records.WorkerRecord,
    attempt: records.Attempt,
    held: resources.Resources,
) -> None:
    """Changes what an attempt holds."""
    change = held - attempt.held
    attempt.held = held
    worker.free = worker.free - change
    if attempt.preemptible:
        worker.reclaimable = worker.reclaimable + change
    if attempt.workspace:
        _change_used(shard, attempt.workspace, change, add=True)
    refresh(shard, worker)


def fix(
    shard: state.ShardState,
    worker: records.WorkerRecord,
    attempt: records.Attempt,
) -> None:
    """Marks an attempt as one that urgent work can no longer displace."""
    if attempt.preemptible:
        attempt.preemptible = False
        workspace = get_workspace(shard, attempt.workspace)
        workspace.preemptible.pop(attempt.key, None)
        worker.reclaimable = worker.reclaimable - attempt.held
        refresh(shard, worker)


def claim(
    shard: state.ShardState, worker: records.WorkerRecord, kept: records.Claim
) -> None:
    """Keeps room on a worker for one job."""
    worker.claims.append(kept)
    worker.claimed = worker.claimed + kept.need.times(kept.count)
    refresh(shard, worker)


def unclaim(
    shard: state.ShardState, kept: records.Claim, count: int | None = None
) -> None:
    """Gives up room kept for `count` tasks, or all of it."""
    count = kept.count if count is None else count
    worker = shard.workers.get(kept.worker_id)
    kept.count -= count
    if worker is None or kept not in worker.claims:
        return
    worker.claimed = worker.claimed - kept.need.times(count)
    if not kept.count:
        worker.claims.remove(kept)
    refresh(shard, worker)


def _change_used(
    shard: state.ShardState,
    name: str,
    amount: resources.Resources,
    *,
    add: bool,
) -> None:
    workspace = get_workspace(shard, name)
    if add:
        workspace.used = workspace.used + amount
    else:
        workspace.used = workspace.used - amount
    workspace.part = workspace.used.dominant_share(shard.total)
    if not add:
        promote(shard, workspace)


def promote(
    shard: state.ShardState, workspace: records.WorkspaceRecord
) -> None:
    """Puts a workspace forward whose use fell or whose entitlement rose."""
    for queue in list(workspace.parked.values()):
        if limits.has_room(workspace, queue.lane.need):
            ordering.unpark(shard, queue)
    for queue in workspace.queues.values():
        if not queue.parked:
            ordering.push(shard, queue)
    gathering = shard.gathering
    if gathering is not None and gathering.gang.lane is not None:
        ordering.activate(shard, gathering.gang.lane)


def refresh(shard: state.ShardState, worker: records.WorkerRecord) -> None:
    """Brings the indexes up to date with one worker."""
    was_open = worker.open
    before = worker.available
    worker.available = worker.free - worker.claimed
    worker.open = _is_open(worker)
    worker_id = worker.worker.worker_id
    if not worker.open:
        if was_open:
            remove(shard, worker)
        return
    _index(shard, worker, worker_id)
    if not was_open or not worker.available.fits_in(before):
        offer(shard, worker)


def _is_open(worker: records.WorkerRecord) -> bool:
    if not worker.reachable or worker.worker.departing or worker.unidentified:
        return False
    if worker.probing:
        return not worker.attempts
    return not worker.quarantined_until_ms


def _index(
    shard: state.ShardState, worker: records.WorkerRecord, worker_id: str
) -> None:
    shard.free.put(worker_id, worker, worker.available)
    if worker.reclaimable == resources.ZERO:
        shard.reclaim.remove(worker_id)
    else:
        shard.reclaim.put(
            worker_id, worker, worker.available + worker.reclaimable
        )
    service = worker.worker.service
    if service:
        pool = shard.pools.get(service)
        if pool is None:
            pool = shard.pools[service] = capacity.SlotIndex()
        score = worker.available.slots
        if worker.strikes and score > 0:
            score = max(1, score - len(worker.strikes))
        pool.put(worker_id, score, worker.turn, worker.worker.capacity.slots)


def remove(shard: state.ShardState, worker: records.WorkerRecord) -> None:
    """Takes a worker out of the indexes."""
    worker_id = worker.worker.worker_id
    worker.open = False
    shard.free.remove(worker_id)
    shard.reclaim.remove(worker_id)
    pool = shard.pools.get(worker.worker.service)
    if pool is not None:
        pool.remove(worker_id)


def offer(shard: state.ShardState, worker: records.WorkerRecord) -> None:
    """Tells lanes without room of a worker that has gained some."""
    worker_id = worker.worker.worker_id
    wary = worker.probing and worker.suspect
    shard.growth += 1
    room = worker.available
    service = worker.worker.service
    for pool in ("", service) if service else ("",):
        lanes = shard.blocked.get(pool)
        if not lanes:
            continue
        if len(lanes) > OFFER_ALL_LIMIT:
            shard.grown[(pool, worker_id)] = worker
            continue
        fitting = [
            lane
            for lane in lanes.irange_key(None, room.cpu_millis)
            if lane.need.fits_in(room) and not (wary and lane.careful)
        ]
        for lane in fitting:
            ordering.offer(shard, lane, worker_id)


def add_waiting(
    shard: state.ShardState, record: records.JobRecord, count: int
) -> None:
    """Counts tasks that begin, or with a negative count cease, to wait."""
    workspace = get_workspace(shard, record.job.workspace)
    if record.job.kind is jobs.Kind.REQUEST:
        workspace.requests += count
        shard.requests += count
    else:
        workspace.waiting += count
        shard.waiting += count
