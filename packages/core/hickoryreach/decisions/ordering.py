"""Order in which waiting jobs are considered.

Jobs that look alike stand in one queue of their workspace; queues whose tasks
fit the same workers share a lane. A heap of lanes, each with a heap of
queues, gives the next job. Keys in the heaps are lower bounds: an entry whose
key has risen is put back when it comes up, and one whose key has fallen is
pushed again, so that only the latest entry of a queue or lane is valid.
"""

from collections.abc import Callable
import dataclasses
import heapq

from hickoryreach.decisions import estimates
from hickoryreach.decisions import records
from hickoryreach.decisions import registry
from hickoryreach.decisions import state
from hickoryreach.structure import jobs

URGENT = 0
REQUEST = 1
ORDINARY = 2
TRIM_LIMIT = 256
CANDIDATE_LIMIT = 32


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Ordering:
    """An order between queues.

    Attributes:
        get_key: Returns a queue's key; the lowest goes first.
        ranked: Whether urgent work and requests go before the rest.
    """

    get_key: Callable[[records.JobQueue], float]
    ranked: bool


orderings: registry.Registry[str, Ordering] = registry.Registry(
    title="orderings"
)


def _get_arrival(queue: records.JobQueue) -> float:
    return queue.jobs[0][0] if queue.jobs else 0.0


def _get_weighted_part(queue: records.JobQueue) -> float:
    return get_part(queue.workspace)


def get_part(workspace: records.WorkspaceRecord) -> float:
    """Returns the part of the cell in use, divided by the share."""
    return workspace.part / workspace.entitlement.share


orderings.register("fifo")(Ordering(get_key=_get_arrival, ranked=False))
orderings.register("weighted_drf")(
    Ordering(get_key=_get_weighted_part, ranked=True)
)


def get_priority(shard: state.ShardState, job: jobs.Job) -> int:
    """Returns the rank of a job's lane; lower goes first."""
    if not orderings.find(shard.settings.ordering).ranked:
        return URGENT
    if job.urgent:
        return URGENT
    return REQUEST if job.kind is jobs.Kind.REQUEST else ORDINARY


def is_careful(job: jobs.Job) -> bool:
    """Returns whether a job's tasks are no fit means to probe a worker."""
    return job.urgent or not job.idempotent


def enqueue(shard: state.ShardState, record: records.JobRecord) -> None:
    """Puts a job with waiting tasks into its queue."""
    if record.on_hold or not record.waiting or record.state.is_final:
        return
    if record.queue is None:
        queue = _find_queue(shard, record.job)
        record.queue = queue
        heapq.heappush(queue.jobs, (record.sequence, record))
    if record.job.urgent:
        shard.lacking[record.job.job_id] = record
    if not record.queue.parked:
        push(shard, record.queue)


def push(shard: state.ShardState, queue: records.JobQueue) -> None:
    """Makes a queue known to its lane under its present key."""
    key = orderings.find(shard.settings.ordering).get_key(queue)
    if queue.pushed is None or key < queue.pushed:
        queue.pushed = key
        shard.sequence += 1
        heapq.heappush(queue.lane.queues, (key, shard.sequence, queue))
    activate(shard, queue.lane)


def activate(shard: state.ShardState, lane: records.Lane) -> None:
    """Puts a lane that may have room into the order."""
    key = _get_lane_key(shard, lane)
    if key is None:
        return
    if lane.blocked and not lane.candidates:
        push_blocked(shard, lane)
        return
    if lane.pushed is None or key < lane.pushed:
        _push_lane(shard, lane, key)


def _get_lane_key(shard: state.ShardState, lane: records.Lane) -> float | None:
    """Returns a lower bound of the key of a lane's first queue, if any."""
    if lane.gang is not None:
        return _get_gang_key(shard, lane)
    return lane.queues[0][0] if lane.queues else None


def push_blocked(shard: state.ShardState, lane: records.Lane) -> None:
    """Puts a blocked lane into the order of its pool's blocked lanes."""
    key = _get_lane_key(shard, lane)
    if not lane.blocked or key is None:
        return
    if lane.pushed_blocked is None or key < lane.pushed_blocked:
        lane.pushed_blocked = key
        shard.sequence += 1
        heapq.heappush(
            shard.blocked_order.setdefault(lane.pool, []),
            (lane.priority, key, shard.sequence, lane),
        )


def pop_blocked(shard: state.ShardState, pool: str) -> records.Lane | None:
    """Takes the blocked lane of a pool that goes first out of the order."""
    heap = shard.blocked_order.get(pool)
    while heap:
        _, key, _, lane = heapq.heappop(heap)
        if lane.pushed_blocked != key or not lane.blocked:
            continue
        lane.pushed_blocked = None
        if lane.gang is None and get_head(shard, lane) is None:
            continue
        if _get_lane_key(shard, lane) > key:
            push_blocked(shard, lane)
            continue
        return lane
    return None


def _get_gang_key(shard: state.ShardState, lane: records.Lane) -> float:
    workspace = shard.workspaces[lane.gang.job.workspace]
    return get_part(workspace)


def _push_lane(shard: state.ShardState, lane: records.Lane, key: float) -> None:
    lane.pushed = key
    shard.sequence += 1
    heapq.heappush(shard.order, (lane.priority, key, shard.sequence, lane))


def next_lane(
    shard: state.ShardState,
) -> tuple[records.Lane, records.JobQueue | None] | None:
    """Returns the lane and queue to consider next, or None.

    A lane in which a gang gathers has no queue.
    """
    while shard.order:
        _, key, _, lane = shard.order[0]
        if lane.pushed != key:
            heapq.heappop(shard.order)
            continue
        if lane.blocked and not lane.candidates:
            _retract(shard, lane)
            continue
        if lane.gang is not None:
            current = _get_gang_key(shard, lane)
            if current <= key:
                return lane, None
            heapq.heappop(shard.order)
            _push_lane(shard, lane, current)
            continue
        queue = get_head(shard, lane)
        if queue is None:
            _retract(shard, lane)
        elif queue.pushed > key:
            heapq.heappop(shard.order)
            _push_lane(shard, lane, queue.pushed)
        else:
            return lane, queue
    return None


def _retract(shard: state.ShardState, lane: records.Lane) -> None:
    heapq.heappop(shard.order)
    lane.pushed = None


def get_head(
    shard: state.ShardState, lane: records.Lane
) -> records.JobQueue | None:
    """Returns the queue of a lane that goes first, or None."""
    get_key = orderings.find(shard.settings.ordering).get_key
    while lane.queues:
        key, _, queue = lane.queues[0]
        if queue.lane is not lane or queue.pushed != key or queue.parked:
            heapq.heappop(lane.queues)
            continue
        if not _trim(queue):
            heapq.heappop(lane.queues)
            _retire(shard, queue)
            continue
        current = get_key(queue)
        if current > key:
            queue.pushed = current
            shard.sequence += 1
            heapq.heapreplace(lane.queues, (current, shard.sequence, queue))
            continue
        return queue
    return None


def _trim(queue: records.JobQueue) -> bool:
    for _ in range(TRIM_LIMIT):
        if not queue.jobs:
            return False
        record = queue.jobs[0][1]
        if record.waiting and not record.state.is_final:
            return True
        heapq.heappop(queue.jobs)
        record.queue = None
    return bool(queue.jobs)


def get_job(queue: records.JobQueue) -> records.JobRecord | None:
    """Returns the first job of a queue when it has tasks to start."""
    if not queue.jobs:
        return None
    record = queue.jobs[0][1]
    if record.waiting and not record.state.is_final:
        return record
    return None


def park(queue: records.JobQueue) -> None:
    """Sets a queue aside until its workspace's limit has room."""
    queue.parked = True
    queue.pushed = None
    queue.workspace.parked[queue.key] = queue


def unpark(shard: state.ShardState, queue: records.JobQueue) -> None:
    """Takes a queue back into its lane."""
    queue.parked = False
    queue.workspace.parked.pop(queue.key, None)
    push(shard, queue)


def _find_queue(shard: state.ShardState, job: jobs.Job) -> records.JobQueue:
    workspace = shard.workspaces[job.workspace]
    careful = is_careful(job)
    key = (job.command, job.need, job.kind, careful, job.urgent, job.service)
    queue = workspace.queues.get(key)
    if queue is not None:
        return queue
    profile = estimates.get_profile(shard, job)
    need = estimates.get_size(shard, workspace, profile, job)
    queue = records.JobQueue(
        key=key,
        workspace=workspace,
        lane=_find_lane(shard, job, need),
        profile=profile,
        declared=job.need,
    )
    queue.lane.size += 1
    workspace.queues[key] = queue
    profile.queues[key] = queue
    return queue


def _find_lane(shard, job: jobs.Job, need) -> records.Lane:
    priority = get_priority(shard, job)
    careful = is_careful(job)
    key = (job.service, job.kind, careful, priority, need)
    lane = shard.lanes.get(key)
    if lane is None:
        lane = records.Lane(
            key=key,
            need=need,
            pool=job.service,
            kind=job.kind,
            priority=priority,
            careful=careful,
        )
        shard.lanes[key] = lane
    return lane


def _retire(shard: state.ShardState, queue: records.JobQueue) -> None:
    queue.pushed = None
    queue.workspace.queues.pop(queue.key, None)
    queue.workspace.parked.pop(queue.key, None)
    queue.profile.queues.pop(queue.key, None)
    _leave_lane(shard, queue.lane)


def _leave_lane(shard: state.ShardState, lane: records.Lane) -> None:
    lane.size -= 1
    if lane.size == 0:
        unblock(shard, lane)
        shard.lanes.pop(lane.key, None)


def resize(shard: state.ShardState, queue: records.JobQueue) -> None:
    """Moves a queue to the lane of the size now learned for it."""
    if not queue.jobs:
        return
    job = queue.jobs[0][1].job
    need = estimates.get_size(shard, queue.workspace, queue.profile, job)
    if need == queue.lane.need:
        return
    _leave_lane(shard, queue.lane)
    queue.lane = _find_lane(shard, job, need)
    queue.lane.size += 1
    queue.pushed = None
    if queue.parked:
        unpark(shard, queue)
    else:
        push(shard, queue)


def resize_learned(shard: state.ShardState) -> None:
    """Moves the queues of commands whose learned size may have changed."""
    for profile in shard.resized:
        for queue in list(profile.queues.values()):
            resize(shard, queue)
    shard.resized.clear()


def block(shard: state.ShardState, lane: records.Lane) -> None:
    """Notes that no worker has room for a lane's tasks."""
    lane.candidates.clear()
    if lane.blocked:
        return
    lane.blocked = True
    lane.blocked_ms = shard.now_ms
    lane.pushed_blocked = None
    shard.blocked[lane.pool].add(lane)
    push_blocked(shard, lane)


def unblock(shard: state.ShardState, lane: records.Lane) -> None:
    """Lets a lane search all workers again."""
    lane.candidates.clear()
    if lane.blocked:
        lane.blocked = False
        shard.blocked[lane.pool].remove(lane)


def offer(shard: state.ShardState, lane: records.Lane, worker_id: str) -> None:
    """Tells a blocked lane of a worker that gained room."""
    lane.candidates[worker_id] = None
    if len(lane.candidates) > CANDIDATE_LIMIT:
        unblock(shard, lane)
    activate(shard, lane)


def reorder(shard: state.ShardState) -> None:
    """Works out every key again, after the cell's totals changed."""
    for workspace in shard.workspaces.values():
        for queue in list(workspace.queues.values()):
            if not queue.parked:
                queue.pushed = None
                push(shard, queue)
