"""Places waiting tasks on workers."""

from collections.abc import Iterator

from hickoryreach.decisions import effects
from hickoryreach.decisions import state
from hickoryreach.structure import jobs


def enqueue(shard: state.ShardState, record: state.JobRecord) -> None:
    """Puts a job with waiting tasks into its workspace's queue."""
    workspace = shard.workspaces.get(record.job.workspace)
    if workspace is not None and record.waiting:
        workspace.queue[record.job.job_id] = None


def dequeue(shard: state.ShardState, record: state.JobRecord) -> None:
    """Takes a job out of its workspace's queue."""
    workspace = shard.workspaces.get(record.job.workspace)
    if workspace is not None:
        workspace.queue.pop(record.job.job_id, None)


def hold(
    shard: state.ShardState,
    record: state.JobRecord,
    worker: state.WorkerRecord,
    key: jobs.TaskKey,
) -> state.Attempt:
    """Sets resources aside for an attempt."""
    attempt = state.Attempt(
        key=key,
        worker_id=worker.worker.worker_id,
        held=record.job.need,
        placed_ms=shard.now_ms,
    )
    record.running[key.index] = attempt
    record.attempts[key.index] = key.attempt
    worker.attempts[key] = attempt
    worker.free = worker.free - attempt.held
    workspace = shard.workspaces[record.job.workspace]
    workspace.used = workspace.used + attempt.held
    return attempt


def release(
    shard: state.ShardState, record: state.JobRecord, attempt: state.Attempt
) -> None:
    """Gives back what an attempt held."""
    record.running.pop(attempt.key.index, None)
    worker = shard.workers.get(attempt.worker_id)
    if worker is not None and worker.attempts.pop(attempt.key, None):
        worker.free = worker.free + attempt.held
    workspace = shard.workspaces[record.job.workspace]
    workspace.used = workspace.used - attempt.held


def place_waiting(shard: state.ShardState) -> Iterator[effects.Effect]:
    """Starts waiting tasks that fit, in order of arrival."""
    for workspace in shard.workspaces.values():
        for job_id in list(workspace.queue):
            record = shard.jobs[job_id]
            if record.hold_until_ms > shard.now_ms:
                continue
            yield from _place_job(shard, workspace, record)
            if not record.waiting:
                workspace.queue.pop(job_id, None)


def _place_job(
    shard: state.ShardState,
    workspace: state.WorkspaceRecord,
    record: state.JobRecord,
) -> Iterator[effects.Effect]:
    job = record.job
    while record.waiting:
        limit = workspace.entitlement.limit
        wanted = workspace.used + job.need
        if limit is not None and not wanted.fits_in(limit):
            return
        worker = _first_fit(shard, job)
        if worker is None:
            return
        index = record.waiting.pop()
        attempt = record.attempts.get(index, 0) + 1
        key = jobs.TaskKey(job_id=job.job_id, index=index, attempt=attempt)
        hold(shard, record, worker, key)
        yield _start_effect(record, worker, key)


def _first_fit(
    shard: state.ShardState, job: jobs.Job
) -> state.WorkerRecord | None:
    for worker in shard.workers.values():
        if not worker.reachable or worker.worker.departing:
            continue
        if job.service and worker.worker.service != job.service:
            continue
        if job.need.fits_in(worker.free):
            return worker
    return None


def _start_effect(
    record: state.JobRecord, worker: state.WorkerRecord, key: jobs.TaskKey
) -> effects.Effect:
    worker_id = worker.worker.worker_id
    if record.job.kind is jobs.Kind.REQUEST:
        return effects.DispatchRequest(
            key=key, worker_id=worker_id, job=record.job, entry=record.entry
        )
    return effects.StartTask(
        key=key,
        worker_id=worker_id,
        need=record.job.need,
        job=record.job,
    )
