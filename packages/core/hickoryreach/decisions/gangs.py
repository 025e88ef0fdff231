"""Gangs: all tasks start together or none does.

Only one gang at a time gathers room, so that no two can wait for what the
other keeps. A gang that finds too little gives back what it gathered and
lets smaller work go first, until its patience ends; from then on it keeps
what it gathered and goes before ordinary work.
"""

from collections.abc import Iterator

import sortedcontainers

from hickoryreach.decisions import attempts
from hickoryreach.decisions import effects
from hickoryreach.decisions import estimates
from hickoryreach.decisions import ledger
from hickoryreach.decisions import limits
from hickoryreach.decisions import ordering
from hickoryreach.decisions import records
from hickoryreach.decisions import reservations
from hickoryreach.decisions import state
from hickoryreach.decisions import timers
from hickoryreach.structure import jobs
from hickoryreach.structure import resources

TRIES_PER_EVENT = 4


def queue(shard: state.ShardState, record: records.JobRecord) -> None:
    """Lets a gang whose tasks all wait look for room."""
    if record.on_hold or record.state.is_final or record.running:
        return
    if record.delayed or not record.waiting or record.gang is not None:
        return
    name = record.job.workspace
    group = shard.gangs.get(name)
    if group is None:
        group = shard.gangs[name] = sortedcontainers.SortedDict()
    group[(not record.job.urgent, record.sequence)] = record


def choose(shard: state.ShardState) -> None:
    """Picks the gang that gathers next, when none does."""
    for _ in range(TRIES_PER_EVENT):
        if shard.gathering is not None or not shard.gangs:
            return
        record = _take_next(shard)
        if record.state.is_final or not record.waiting or record.running:
            continue
        _begin(shard, record)


def reconsider(shard: state.ShardState) -> None:
    """Lets a gang of a workspace with less go before one that must wait."""
    record = shard.gathering
    if record is None or record.job.urgent or not shard.gangs:
        return
    part = ordering.get_part(shard.workspaces[record.job.workspace])
    if part <= shard.served_key:
        return
    best = min(_rank(shard, name) for name in shard.gangs)
    if best[0] is False or best[1] < part:
        disband(shard, record)
        queue(shard, record)


def _take_next(shard: state.ShardState) -> records.JobRecord:
    name = min(shard.gangs, key=lambda name: _rank(shard, name))
    group = shard.gangs[name]
    _, record = group.popitem(0)
    if not group:
        del shard.gangs[name]
    return record


def _rank(shard: state.ShardState, name: str) -> tuple[bool, float, int]:
    """Ranks workspaces by urgency, then by how little of the cell they use."""
    (late, sequence), _ = shard.gangs[name].peekitem(0)
    workspace = shard.workspaces[name]
    return late, ordering.get_part(workspace), sequence


def _begin(shard: state.ShardState, record: records.JobRecord) -> None:
    job = record.job
    workspace = ledger.get_workspace(shard, job.workspace)
    profile = estimates.get_profile(shard, job)
    need = estimates.get_size(shard, workspace, profile, job)
    if count_room(shard, need, job.service) < len(record.waiting):
        need = job.need
    total = need.times(len(record.waiting))
    if count_room(shard, need, job.service) < len(record.waiting):
        shard.misfits[job.job_id] = record
        _postpone(shard, record)
        return
    shard.misfits.pop(job.job_id, None)
    record.misfit_ms = -1
    if not limits.has_room(workspace, total):
        _postpone(shard, record)
        return
    waited_ms = shard.now_ms - record.queued_ms
    patience_ms = 0 if job.urgent else shard.settings.gang_patience_ms
    gang = records.Gang(
        need=need, charged=total, reserving=waited_ms >= patience_ms
    )
    record.gang = gang
    workspace.claimed = workspace.claimed + total
    gang.lane = records.Lane(
        key=("gang", job.job_id),
        need=need,
        pool=job.service,
        kind=jobs.Kind.GANG,
        priority=ordering.URGENT if job.urgent else ordering.ORDINARY,
        gang=record,
        careful=ordering.is_careful(job),
    )
    shard.gathering = record
    if job.urgent:
        shard.lacking[job.job_id] = record
    if gang.reserving:
        record.reserve_turns += 1
        bound_ms = shard.settings.gang_reserve_ms << record.reserve_turns
        timers.schedule(
            shard, shard.now_ms + bound_ms, "gang_bound", (record, gang)
        )
    ordering.activate(shard, gang.lane)


def _postpone(shard: state.ShardState, record: records.JobRecord) -> None:
    due_ms = shard.now_ms + shard.settings.gang_retry_ms
    timers.schedule(shard, due_ms, "gang_retry", record)


@timers.handlers.register("gang_retry")
def retry(
    shard: state.ShardState, record: records.JobRecord
) -> Iterator[effects.Effect]:
    """Lets a gang that found no room try again."""
    queue(shard, record)
    yield from ()


@timers.handlers.register("gang_bound")
def end_reservation(
    shard: state.ShardState, subject: tuple[records.JobRecord, records.Gang]
) -> Iterator[effects.Effect]:
    """Ends a reservation that keeps other gangs waiting for too long."""
    record, gang = subject
    if record.gang is not gang or shard.gathering is not record:
        return
    if shard.gangs:
        disband(shard, record)
        _postpone(shard, record)
    else:
        due_ms = shard.now_ms + shard.settings.gang_reserve_ms
        timers.schedule(shard, due_ms, "gang_bound", subject)
    yield from ()


def gather(
    shard: state.ShardState,
    lane: records.Lane,
    worker: records.WorkerRecord | None,
) -> None:
    """Keeps room on the worker found; without one, gives up or waits."""
    record = lane.gang
    gang = record.gang
    missing = len(record.waiting) - gang.gathered
    if missing > 0 and worker is None:
        ordering.block(shard, lane)
        if not gang.reserving:
            disband(shard, record)
            _postpone(shard, record)
        return
    if missing > 0:
        count = min(missing, _count_fitting(worker.available, gang.need))
        reservations.keep_for_gang(shard, record, worker, count)
    _complete(shard, record)


def gather_one(
    shard: state.ShardState,
    record: records.JobRecord,
    worker: records.WorkerRecord,
) -> None:
    """Keeps room for one task where other tasks have made room."""
    if len(record.waiting) > record.gang.gathered:
        reservations.keep_for_gang(shard, record, worker, 1)
    _complete(shard, record)


def _complete(shard: state.ShardState, record: records.JobRecord) -> None:
    gang = record.gang
    if gang.gathered < len(record.waiting):
        return
    for kept in list(record.claims):
        reservations.drop(shard, kept)
    _close_lane(shard, gang)
    gang.launching = True
    shard.gathering = None
    shard.launching[record.job.job_id] = record


def _count_fitting(room: resources.Resources, need: resources.Resources) -> int:
    counts = [
        have // want
        for have, want in (
            (room.cpu_millis, need.cpu_millis),
            (room.memory_mb, need.memory_mb),
            (room.accelerators, need.accelerators),
            (room.slots, need.slots),
        )
        if want > 0
    ]
    return min(counts, default=1_000_000)


def _close_lane(shard: state.ShardState, gang: records.Gang) -> None:
    lane = gang.lane
    if lane is not None:
        ordering.unblock(shard, lane)
        lane.pushed = None
        lane.gang = None
        gang.lane = None


def launch(shard: state.ShardState, budget: int) -> Iterator[effects.Effect]:
    """Starts tasks of gangs whose room is complete, at most `budget`."""
    while shard.launching and budget > 0:
        record = next(iter(shard.launching.values()))
        gang = record.gang
        if not _may_start(shard, record, gang):
            yield from regroup(shard, record)
            continue
        while budget > 0 and gang.claims and record.waiting:
            budget -= 1
            yield _start(shard, record, gang)
        if not gang.claims or not record.waiting:
            yield from regroup(shard, record)


def _may_start(
    shard: state.ShardState, record: records.JobRecord, gang: records.Gang
) -> bool:
    """Returns whether its room is still complete and within the limit."""
    workspace = ledger.get_workspace(shard, record.job.workspace)
    return gang.gathered >= len(record.waiting) and limits.has_room(
        workspace, resources.ZERO
    )


def _start(
    shard: state.ShardState, record: records.JobRecord, gang: records.Gang
) -> effects.Effect:
    worker_id, kept = next(iter(gang.claims.items()))
    worker = shard.workers[worker_id]
    gang.gathered -= 1
    if kept.count == 1:
        del gang.claims[worker_id]
    ledger.unclaim(shard, kept, 1)
    workspace = ledger.get_workspace(shard, record.job.workspace)
    workspace.claimed = workspace.claimed - gang.need
    gang.charged = gang.charged - gang.need
    return attempts.place(shard, record, worker, gang.need)


def regroup(
    shard: state.ShardState, record: records.JobRecord
) -> Iterator[effects.Effect]:
    """Stops what runs of a gang that is incomplete, to start over together.

    Tasks that may not be repeated are left to end.
    """
    missing = bool(record.waiting) or record.gang is None
    disband(shard, record)
    if not missing:
        return
    queue(shard, record)
    if not record.job.idempotent:
        return
    for attempt in record.running.values():
        if not attempt.stopping:
            attempt.preempted = True
            yield attempts.ask_to_stop(shard, attempt, "gang member lost")


def disband(shard: state.ShardState, record: records.JobRecord) -> None:
    """Gives back all room that a gang still keeps."""
    gang = record.gang
    if gang is None:
        return
    for kept in [*gang.claims.values(), *record.claims]:
        reservations.drop(shard, kept)
    _close_lane(shard, gang)
    record.gang = None
    shard.launching.pop(record.job.job_id, None)
    if shard.gathering is record:
        shard.gathering = None
    workspace = ledger.get_workspace(shard, record.job.workspace)
    workspace.claimed = workspace.claimed - gang.charged
    ledger.promote(shard, workspace)


def make_way(
    shard: state.ShardState,
    workspace: records.WorkspaceRecord,
    need: resources.Resources,
) -> bool:
    """Gives up a gang's reservation when urgent work needs its limit.

    Returns:
        Whether the workspace's limit has room for `need` now.
    """
    record = shard.gathering
    if record is None or record.job.urgent:
        return False
    if record.job.workspace != workspace.entitlement.workspace:
        return False
    disband(shard, record)
    _postpone(shard, record)
    return limits.has_room(workspace, need)


def count_room(
    shard: state.ShardState, need: resources.Resources, service: str
) -> int:
    """Returns how many tasks the workers would hold when empty."""
    return sum(
        count * _count_fitting(size, need)
        for (size, offered), count in shard.capacities.items()
        if not service or service == offered
    )
