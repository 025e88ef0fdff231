"""Room for urgent work on a full cell."""

from collections.abc import Iterator
import itertools

from hickoryreach.decisions import attempts
from hickoryreach.decisions import effects
from hickoryreach.decisions import gangs
from hickoryreach.decisions import ledger
from hickoryreach.decisions import limits
from hickoryreach.decisions import ordering
from hickoryreach.decisions import records
from hickoryreach.decisions import reservations
from hickoryreach.decisions import state
from hickoryreach.decisions import timers
from hickoryreach.structure import jobs
from hickoryreach.structure import resources

WORKERS_COMPARED = 8
TASKS_PER_EVENT = 16
JOBS_PER_EVENT = 64
OWN_COMPARED = 64
FAILURES_PER_EVENT = 4


def make_room(shard: state.ShardState) -> Iterator[effects.Effect]:
    """Displaces preemptible tasks for urgent ones that found no worker."""
    if not shard.settings.preempting or not shard.lacking:
        return
    budget = TASKS_PER_EVENT
    failures = 0
    for job_id in list(itertools.islice(shard.lacking, JOBS_PER_EVENT)):
        record = shard.lacking.pop(job_id)
        lane = _get_lane(record)
        if lane is None or not _lacks_room(record):
            continue
        if not lane.blocked or lane.candidates:
            shard.lacking[job_id] = record
            continue
        while budget > 0 and _lacks_room(record):
            displaced = list(_displace(shard, lane, record))
            yield from displaced
            if not displaced:
                failures += 1
                break
            budget -= 1
        if _lacks_room(record):
            shard.lacking[job_id] = record
        if budget <= 0 or failures >= FAILURES_PER_EVENT:
            return


def _get_lane(record: records.JobRecord) -> records.Lane | None:
    if record.state.is_final:
        return None
    if record.gang is not None:
        return record.gang.lane
    return record.queue.lane if record.queue is not None else None


def _lacks_room(record: records.JobRecord) -> bool:
    gathered = record.gang.gathered if record.gang is not None else 0
    return len(record.waiting) > len(record.claims) + gathered


def _displace(
    shard: state.ShardState, lane: records.Lane, record: records.JobRecord
) -> Iterator[effects.Effect]:
    workspace = ledger.get_workspace(shard, record.job.workspace)
    if record.gang is None and not limits.has_room(workspace, lane.need):
        return
    choice = _choose_cheapest(shard, lane)
    if choice is None:
        return
    worker, victims = choice
    kept = reservations.keep_for_task(shard, record, worker, lane.need)
    due_ms = shard.now_ms + shard.settings.claim_ms
    timers.schedule(shard, due_ms, "claim", kept)
    for victim in victims:
        yield from _stop(shard, worker, victim)


def _choose_cheapest(
    shard: state.ShardState, lane: records.Lane
) -> tuple[records.WorkerRecord, list[records.Attempt]] | None:
    options = []
    found = shard.reclaim.search(lane.need, _get_reclaimable_room)
    for worker in itertools.islice(found, WORKERS_COMPARED):
        if lane.pool and worker.worker.service != lane.pool:
            continue
        victims = pick_victims(shard, worker, lane.need)
        if victims:
            cost = sum(get_cost(shard, victim) for victim in victims)
            options.append((cost, worker.number, worker, victims))
    if not options:
        return None
    _, _, worker, victims = min(options, key=lambda option: option[:2])
    return worker, victims


def _get_reclaimable_room(
    worker: records.WorkerRecord,
) -> resources.Resources:
    return worker.available + worker.reclaimable


def get_cost(shard: state.ShardState, attempt: records.Attempt) -> int:
    """Returns the work lost by stopping an attempt, in core-microseconds."""
    return (shard.now_ms - attempt.placed_ms + 1) * attempt.held.cpu_millis


def pick_victims(
    shard: state.ShardState,
    worker: records.WorkerRecord,
    need: resources.Resources,
) -> list[records.Attempt]:
    """Returns the cheapest attempts whose end makes room, if any do."""
    candidates = sorted(
        (each for each in worker.attempts.values() if each.preemptible),
        key=lambda each: get_cost(shard, each),
    )
    room = worker.available
    chosen = []
    for each in candidates:
        if need.fits_in(room):
            break
        chosen.append(each)
        room = room + each.held
    if not need.fits_in(room):
        return []
    for each in reversed(list(chosen)):
        if need.fits_in(room - each.held):
            chosen.remove(each)
            room = room - each.held
    return chosen


def _stop(
    shard: state.ShardState,
    worker: records.WorkerRecord,
    attempt: records.Attempt,
) -> Iterator[effects.Effect]:
    ledger.fix(shard, worker, attempt)
    attempt.preempted = True
    due_ms = shard.now_ms + shard.settings.checkpoint_ms
    timers.schedule(shard, due_ms, "checkpoint", attempt)
    if not attempt.started:
        yield attempts.ask_to_stop(shard, attempt, "preempted")
        return
    attempt.stopping = True
    attempt.stop_asked_ms = shard.now_ms
    attempt.stop_reason = "preempted"
    yield effects.CheckpointTask(key=attempt.key, worker_id=attempt.worker_id)


def displace(
    shard: state.ShardState,
    worker: records.WorkerRecord,
    attempt: records.Attempt,
) -> Iterator[effects.Effect]:
    """Checkpoints one preemptible attempt to free what it holds."""
    yield from _stop(shard, worker, attempt)


def make_way(shard: state.ShardState) -> Iterator[effects.Effect]:
    """Displaces a workspace's own tasks for urgent ones its limit holds back.

    One task's worth at a time for each workspace.
    """
    if not shard.settings.preempting:
        return
    for key, queue in list(shard.limited.items()):
        if not queue.parked:
            del shard.limited[key]
        elif not queue.workspace.yielding:
            yield from _yield_limit(shard, queue)


def _yield_limit(
    shard: state.ShardState, queue: records.JobQueue
) -> Iterator[effects.Effect]:
    workspace = queue.workspace
    if ordering.get_job(queue) is None:
        return
    own = itertools.islice(workspace.preemptible.values(), OWN_COMPARED)
    freed = resources.ZERO
    chosen = []
    for attempt in sorted(own, key=lambda each: get_cost(shard, each)):
        chosen.append(attempt)
        freed = freed + attempt.held
        if limits.has_room(workspace, queue.lane.need - freed):
            break
    else:
        return
    for attempt in chosen:
        worker = shard.workers[attempt.worker_id]
        workspace.yielding[attempt.key] = attempt
        yield from _stop(shard, worker, attempt)


@timers.handlers.register("checkpoint")
def stop_unfinished(
    shard: state.ShardState, attempt: records.Attempt
) -> Iterator[effects.Effect]:
    """Stops an attempt that is not gone yet, and asks again until it is."""
    worker = shard.workers.get(attempt.worker_id)
    if worker is not None and worker.attempts.get(attempt.key) is attempt:
        due_ms = shard.now_ms + shard.settings.stop_retry_ms
        timers.schedule(shard, due_ms, "checkpoint", attempt)
        yield attempts.ask_to_stop(shard, attempt, attempt.stop_reason)


@timers.handlers.register("claim")
def give_up(
    shard: state.ShardState, kept: records.Claim
) -> Iterator[effects.Effect]:
    """Gives up room that was not made in time."""
    record = kept.record
    reservations.drop(shard, kept)
    if record.job.urgent and not record.state.is_final:
        shard.lacking[record.job.job_id] = record
    yield from ()


def use_ready(shard: state.ShardState) -> Iterator[effects.Effect]:
    """Starts urgent tasks whose room has been made."""
    for _ in range(len(shard.ready)):
        kept = shard.ready.popleft()
        record = kept.record
        worker = shard.workers.get(kept.worker_id)
        if worker is None or kept not in record.claims:
            continue
        if not worker.open or not kept.need.fits_in(_get_room(worker)):
            continue
        reservations.drop(shard, kept)
        if record.job.kind is jobs.Kind.GANG:
            if record.gang is not None and record.gang.lane is not None:
                gangs.gather_one(shard, record, worker)
            continue
        workspace = ledger.get_workspace(shard, record.job.workspace)
        if record.waiting and limits.has_room(workspace, kept.need):
            yield attempts.place(shard, record, worker, kept.need)


def _get_room(worker: records.WorkerRecord) -> resources.Resources:
    room = worker.free
    for kept in worker.claims:
        if not kept.pending:
            room = room - kept.need.times(kept.count)
    return room
