"""Room for large tasks that smaller ones would keep from starting."""

from collections.abc import Iterator
import heapq

from hickoryreach.decisions import limits
from hickoryreach.decisions import ordering
from hickoryreach.decisions import records
from hickoryreach.decisions import reservations
from hickoryreach.decisions import state
from hickoryreach.decisions import timers
from hickoryreach.structure import jobs
from hickoryreach.structure import resources

WORKERS_COMPARED = 16
GANG_TASKS_PER_EVENT = 16


def keep_room(shard: state.ShardState) -> None:
    """Keeps workers for lanes in which nothing has started for a while.

    Only lanes whose next workspace has no larger part of the cell than the
    one served last are helped, those with the smallest part first.
    """
    settings = shard.settings
    if not settings.starvation_ms:
        return
    _help_gang(shard)
    shard.kept = [kept for kept in shard.kept if kept in kept.record.claims]
    most = -(-len(shard.workers) // settings.workers_per_reservation)
    left = most - len(shard.kept)
    if left <= 0:
        return
    starved = heapq.nsmallest(
        left, _list_starved(shard), key=lambda lane: lane.queues[0][0]
    )
    for lane in starved:
        _help(shard, lane)


def _help_gang(shard: state.ShardState) -> None:
    """Keeps workers for the tasks that a reserving gang still lacks."""
    record = shard.gathering
    if record is None or not record.gang.reserving:
        return
    workspace = shard.workspaces[record.job.workspace]
    if ordering.get_part(workspace) > shard.served_key:
        return
    gang = record.gang
    lacking = len(record.waiting) - gang.gathered - len(record.claims)
    for _ in range(min(lacking, GANG_TASKS_PER_EVENT)):
        worker = _choose(shard, gang.lane)
        if worker is None:
            return
        _keep(shard, record, worker, gang.need)


def _keep(
    shard: state.ShardState,
    record: records.JobRecord,
    worker: records.WorkerRecord,
    need: resources.Resources,
) -> records.Claim:
    kept = reservations.keep_for_task(shard, record, worker, need)
    due_ms = shard.now_ms + shard.settings.reservation_ms
    timers.schedule(shard, due_ms, "claim", kept)
    return kept


def _list_starved(shard: state.ShardState) -> Iterator[records.Lane]:
    horizon_ms = shard.now_ms - shard.settings.starvation_ms
    for lane in shard.lanes.values():
        if (
            lane.blocked
            and not lane.candidates
            and lane.queues
            and lane.kind is not jobs.Kind.REQUEST
            and lane.blocked_ms <= horizon_ms
            and lane.queues[0][0] <= shard.served_key
        ):
            yield lane


def _help(shard: state.ShardState, lane: records.Lane) -> None:
    queue = ordering.get_head(shard, lane)
    record = ordering.get_job(queue) if queue is not None else None
    if record is None or queue.pushed > shard.served_key:
        return
    if queue.pushed == shard.served_key and (
        record.sequence > shard.served_sequence
    ):
        return
    if record.queued_ms + shard.settings.starvation_ms > shard.now_ms:
        return
    if len(record.claims) >= len(record.waiting):
        return
    if not limits.has_room(queue.workspace, lane.need):
        return
    worker = _choose(shard, lane)
    if worker is None:
        return
    shard.kept.append(_keep(shard, record, worker, lane.need))


def _choose(
    shard: state.ShardState, lane: records.Lane
) -> records.WorkerRecord | None:
    """Returns the worker that lacks the least room, of the roomiest ones."""
    best = None
    least = 0.0
    roomiest = shard.free.list_roomiest(lane.need.accelerators)
    for _, worker in zip(range(WORKERS_COMPARED), roomiest, strict=False):
        described = worker.worker
        if worker.claims or not lane.need.fits_in(described.capacity):
            continue
        if lane.pool and described.service != lane.pool:
            continue
        lack = _get_lack(lane.need, worker)
        if lack > 0 and (best is None or lack < least):
            best = worker
            least = lack
    return best


def _get_lack(need: resources.Resources, worker: records.WorkerRecord) -> float:
    room = worker.available
    size = worker.worker.capacity
    cpu = max(0, need.cpu_millis - room.cpu_millis) / (size.cpu_millis or 1)
    memory = max(0, need.memory_mb - room.memory_mb) / (size.memory_mb or 1)
    return cpu + memory
