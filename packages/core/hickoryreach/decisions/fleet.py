"""Workers that join, change, fall silent and go."""

from collections.abc import Iterator

from hickoryreach.decisions import adoption
from hickoryreach.decisions import attempts
from hickoryreach.decisions import effects
from hickoryreach.decisions import ledger
from hickoryreach.decisions import preemption
from hickoryreach.decisions import records
from hickoryreach.decisions import reservations
from hickoryreach.decisions import state
from hickoryreach.structure import jobs
from hickoryreach.structure import resources
from hickoryreach.structure import workers


def join(
    shard: state.ShardState, described: workers.Worker
) -> records.WorkerRecord:
    """Adds a worker, or takes in its new description."""
    record = shard.workers.get(described.worker_id)
    if record is None:
        shard.sequence += 1
        record = records.WorkerRecord(
            worker=described, free=described.capacity, number=shard.sequence
        )
        shard.workers[described.worker_id] = record
        _count(shard, described, 1)
    elif record.worker != described:
        _redescribe(shard, record, described)
    record.reachable = True
    return record


def _redescribe(
    shard: state.ShardState,
    record: records.WorkerRecord,
    described: workers.Worker,
) -> None:
    ledger.remove(shard, record)
    _count(shard, record.worker, -1)
    record.free = record.free + (described.capacity - record.worker.capacity)
    record.worker = described
    _count(shard, described, 1)
    if described.departing:
        reservations.drop_worker(shard, record)


def _count(
    shard: state.ShardState, described: workers.Worker, count: int
) -> None:
    key = (described.capacity, described.service)
    shard.capacities[key] += count
    if shard.capacities[key] <= 0:
        del shard.capacities[key]
    domain = shard.racks.setdefault(described.failure_domain, {})
    members = domain.setdefault(described.rack, {})
    if count > 0:
        shard.total = shard.total + described.capacity
        members[described.worker_id] = shard.workers[described.worker_id]
    else:
        shard.total = shard.total - described.capacity
        members.pop(described.worker_id)
    if not members:
        del domain[described.rack]
    if not domain:
        del shard.racks[described.failure_domain]
    shard.totals_changed = True


def relieve(
    shard: state.ShardState, worker: records.WorkerRecord
) -> Iterator[effects.Effect]:
    """Displaces preemptible tasks from a worker that has shrunk.

    What may not be displaced goes on; nothing starts there until the rest
    fits again.
    """
    free = worker.free
    shortage = resources.Resources(
        cpu_millis=max(0, -free.cpu_millis),
        memory_mb=max(0, -free.memory_mb),
        accelerators=max(0, -free.accelerators),
        slots=max(0, -free.slots),
    )
    if shortage == resources.ZERO:
        return
    for attempt in list(worker.attempts.values()):
        if resources.ZERO.fits_in(free):
            return
        if attempt.preemptible:
            free = free + attempt.held
            yield from preemption.displace(shard, worker, attempt)


def vacate(
    shard: state.ShardState, worker: records.WorkerRecord
) -> Iterator[effects.Effect]:
    """Moves services off a departing worker."""
    if not worker.worker.departing:
        return
    for attempt in list(worker.attempts.values()):
        record = shard.jobs.get(attempt.key.job_id)
        if record is None or record.job.kind is not jobs.Kind.SERVICE:
            continue
        if not attempt.stopping and record.job.idempotent:
            attempt.preempted = True
            yield attempts.ask_to_stop(shard, attempt, "worker departing")


def suspend(shard: state.ShardState, worker: records.WorkerRecord) -> None:
    """Stops placing work on a worker that does not answer."""
    worker.reachable = False
    ledger.refresh(shard, worker)
    reservations.drop_worker(shard, worker)


def lose(
    shard: state.ShardState, worker: records.WorkerRecord
) -> Iterator[effects.Effect]:
    """Takes back what a lost worker held."""
    suspend(shard, worker)
    yield from adoption.lose(shard, worker)
    worker_id = worker.worker.worker_id
    del shard.workers[worker_id]
    shard.quarantined.pop(worker_id, None)
    _count(shard, worker.worker, -1)
