"""Placing an attempt on a worker."""

from hickoryreach import exceptions
from hickoryreach.decisions import effects
from hickoryreach.decisions import ledger
from hickoryreach.decisions import records
from hickoryreach.decisions import reservations
from hickoryreach.decisions import state
from hickoryreach.structure import jobs
from hickoryreach.structure import resources

ATTEMPTS_PER_TERM = 10_000


def place(
    shard: state.ShardState,
    record: records.JobRecord,
    worker: records.WorkerRecord,
    need: resources.Resources,
) -> effects.Effect:
    """Places the next waiting task on a worker."""
    if not need.fits_in(worker.free):
        raise exceptions.InvariantError(
            f"{worker.worker.worker_id} has no room for {record.job.job_id}"
        )
    job = record.job
    index, _ = record.waiting.popitem()
    ledger.add_waiting(shard, record, -1)
    floor = shard.term * ATTEMPTS_PER_TERM
    number = max(record.attempts.get(index, 0), floor) + 1
    key = jobs.TaskKey(job_id=job.job_id, index=index, attempt=number)
    bind(shard, record, worker, key, need)
    if record.claims:
        reservations.trim(shard, record)
    worker_id = worker.worker.worker_id
    if job.kind is jobs.Kind.REQUEST:
        return effects.DispatchRequest(
            key=key, worker_id=worker_id, job=job, entry=record.entry
        )
    return effects.StartTask(key=key, worker_id=worker_id, need=need, job=job)


def bind(
    shard: state.ShardState,
    record: records.JobRecord,
    worker: records.WorkerRecord,
    key: jobs.TaskKey,
    need: resources.Resources,
) -> records.Attempt:
    """Makes an attempt the live one of its index and sets room aside."""
    job = record.job
    attempt = records.Attempt(
        key=key,
        worker_id=worker.worker.worker_id,
        held=need,
        placed_ms=shard.now_ms,
        workspace=job.workspace,
        preemptible=_is_preemptible(job),
    )
    record.running[key.index] = attempt
    record.attempts[key.index] = key.attempt
    if job.kind is jobs.Kind.SERVICE:
        _count_nearby(record, worker, 1)
    elif job.kind is jobs.Kind.REQUEST:
        shard.sequence += 1
        worker.turn = shard.sequence
    ledger.hold(shard, worker, attempt)
    return attempt


def unbind(
    shard: state.ShardState, record: records.JobRecord, attempt: records.Attempt
) -> None:
    """Ends an attempt's hold on its index and its worker."""
    if record.running.get(attempt.key.index) is attempt:
        del record.running[attempt.key.index]
        worker = shard.workers.get(attempt.worker_id)
        if worker is not None and record.job.kind is jobs.Kind.SERVICE:
            _count_nearby(record, worker, -1)
    ledger.release(shard, attempt)


def ask_to_stop(
    shard: state.ShardState, attempt: records.Attempt, reason: str
) -> effects.StopTask:
    """Notes that a stop was asked for, and returns it."""
    attempt.stopping = True
    attempt.stop_asked_ms = shard.now_ms
    attempt.stop_reason = reason
    return effects.StopTask(
        key=attempt.key, worker_id=attempt.worker_id, reason=reason
    )


def _count_nearby(
    record: records.JobRecord, worker: records.WorkerRecord, change: int
) -> None:
    domain = worker.worker.failure_domain
    record.spread[domain, ""] += change
    record.spread[domain, worker.worker.rack] += change


def _is_preemptible(job: jobs.Job) -> bool:
    return (
        job.preemptible
        and job.idempotent
        and not job.urgent
        and job.kind is jobs.Kind.BATCH
    )
