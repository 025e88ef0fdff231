"""The reducer: one event in, effects out, no clock and no I/O."""

from collections.abc import Callable
from collections.abc import Iterator

from hickoryreach.decisions import effects
from hickoryreach.decisions import events
from hickoryreach.decisions import placement
from hickoryreach.decisions import registry
from hickoryreach.decisions import state
from hickoryreach.structure import jobs

Handler = Callable[[state.ShardState, object], Iterator[effects.Effect]]

handlers: registry.Registry[type, Handler] = registry.Registry(
    title="event handlers"
)


def reduce(
    shard: state.ShardState, event: events.Event, now_ms: int
) -> list[effects.Effect]:
    """Applies `event` to `shard` and returns the effects in order."""
    shard.now_ms = now_ms
    handle = handlers.find(type(event))
    return list(handle(shard, event))


@handlers.register(events.EntitlementsChanged)
def change_entitlements(
    shard: state.ShardState, event: events.EntitlementsChanged
) -> Iterator[effects.Effect]:
    """Puts new entitlements in force."""
    for entitlement in event.entitlements:
        record = shard.workspaces.get(entitlement.workspace)
        if record is None:
            shard.workspaces[entitlement.workspace] = state.WorkspaceRecord(
                entitlement=entitlement
            )
        else:
            record.entitlement = entitlement
    yield from placement.place_waiting(shard)


@handlers.register(events.WorkerJoined)
def join_worker(
    shard: state.ShardState, event: events.WorkerJoined
) -> Iterator[effects.Effect]:
    """Adds a worker and adopts what it runs."""
    worker_id = event.worker.worker_id
    record = shard.workers.get(worker_id)
    if record is None:
        record = state.WorkerRecord(
            worker=event.worker, free=event.worker.capacity
        )
        shard.workers[worker_id] = record
    record.worker = event.worker
    record.reachable = True
    for task in event.running:
        yield from _adopt(shard, record, task.key)
    yield from placement.place_waiting(shard)


def _adopt(
    shard: state.ShardState, record: state.WorkerRecord, key: jobs.TaskKey
) -> Iterator[effects.Effect]:
    if key in record.attempts:
        return
    job_record = shard.jobs.get(key.job_id)
    wanted = job_record is not None and key.index in job_record.waiting
    if not wanted:
        yield effects.StopTask(
            key=key, worker_id=record.worker.worker_id, reason="unknown task"
        )
        return
    job_record.waiting.remove(key.index)
    placement.hold(shard, job_record, record, key)
    job_record.running[key.index].started = True
    job_record.ran = jobs.Ran.RAN


@handlers.register(events.WorkerReported)
def report_worker(
    shard: state.ShardState, event: events.WorkerReported
) -> Iterator[effects.Effect]:
    """Takes in a usage report."""
    record = shard.workers.get(event.worker_id)
    if record is not None:
        record.reachable = True
    yield from ()


@handlers.register(events.WorkerUnreachable)
def suspend_worker(
    shard: state.ShardState, event: events.WorkerUnreachable
) -> Iterator[effects.Effect]:
    """Stops placing work on a worker that does not answer."""
    record = shard.workers.get(event.worker_id)
    if record is not None:
        record.reachable = False
    yield from ()


@handlers.register(events.WorkerLost)
def lose_worker(
    shard: state.ShardState, event: events.WorkerLost
) -> Iterator[effects.Effect]:
    """Takes back what a lost worker held."""
    record = shard.workers.pop(event.worker_id, None)
    if record is None:
        return
    for attempt in list(record.attempts.values()):
        yield from _end_attempt(
            shard, attempt, jobs.TaskResult.UNKNOWN, "worker lost"
        )
    yield from placement.place_waiting(shard)


@handlers.register(events.JobSubmitted)
def submit_job(
    shard: state.ShardState, event: events.JobSubmitted
) -> Iterator[effects.Effect]:
    """Queues a job's tasks and places what fits."""
    if event.job.job_id in shard.jobs:
        return
    record = state.JobRecord(
        job=event.job,
        entry=event.entry,
        waiting=list(reversed(range(event.job.tasks))),
        queued_ms=shard.now_ms,
    )
    shard.jobs[event.job.job_id] = record
    placement.enqueue(shard, record)
    yield from placement.place_waiting(shard)


@handlers.register(events.JobRestored)
def restore_job(
    shard: state.ShardState, event: events.JobRestored
) -> Iterator[effects.Effect]:
    """Takes over a job from the journal."""
    settled = set(event.done) | set(event.failed)
    record = state.JobRecord(
        job=event.job,
        waiting=[
            index
            for index in reversed(range(event.job.tasks))
            if index not in settled
        ],
        done=set(event.done),
        failed=set(event.failed),
        attempts=dict(event.attempts),
        queued_ms=shard.now_ms,
        hold_until_ms=event.hold_until_ms,
    )
    shard.jobs[event.job.job_id] = record
    placement.enqueue(shard, record)
    yield from ()


@handlers.register(events.HoldsCleared)
def clear_holds(
    shard: state.ShardState, event: events.HoldsCleared
) -> Iterator[effects.Effect]:
    """Lets restored jobs start."""
    for record in shard.jobs.values():
        record.hold_until_ms = 0
    yield from placement.place_waiting(shard)


@handlers.register(events.JobCancelled)
def cancel_job(
    shard: state.ShardState, event: events.JobCancelled
) -> Iterator[effects.Effect]:
    """Drops waiting tasks and stops running ones."""
    record = shard.jobs.get(event.job_id)
    if record is None or record.state.is_final:
        return
    record.waiting.clear()
    placement.dequeue(shard, record)
    for attempt in record.running.values():
        attempt.stopping = True
        yield effects.StopTask(
            key=attempt.key, worker_id=attempt.worker_id, reason="cancelled"
        )
    record.state = jobs.JobState.CANCELLED
    yield effects.JobChanged(
        job_id=event.job_id, state=record.state, ran=record.ran
    )


@handlers.register(events.WaveCancelled)
def cancel_wave(
    shard: state.ShardState, event: events.WaveCancelled
) -> Iterator[effects.Effect]:
    """Cancels every job of a wave."""
    members = [
        record.job.job_id
        for record in shard.jobs.values()
        if record.job.workspace == event.workspace
        and record.job.wave == event.wave
    ]
    for job_id in members:
        yield from cancel_job(shard, events.JobCancelled(job_id=job_id))


@handlers.register(events.TaskStarted)
def confirm_start(
    shard: state.ShardState, event: events.TaskStarted
) -> Iterator[effects.Effect]:
    """Notes that an attempt is running."""
    record = shard.jobs.get(event.key.job_id)
    attempt = record and record.running.get(event.key.index)
    if not attempt or attempt.key != event.key:
        return
    attempt.started = True
    record.ran = jobs.Ran.RAN
    if record.state is jobs.JobState.ACCEPTED:
        record.state = jobs.JobState.RUNNING
        yield effects.JobChanged(
            job_id=event.key.job_id, state=record.state, ran=record.ran
        )


@handlers.register(events.TaskEnded)
def end_task(
    shard: state.ShardState, event: events.TaskEnded
) -> Iterator[effects.Effect]:
    """Settles or repeats an attempt that ended."""
    record = shard.jobs.get(event.key.job_id)
    attempt = record and record.running.get(event.key.index)
    if not attempt or attempt.key != event.key:
        return
    yield from _end_attempt(
        shard, attempt, event.result, event.reason, event.status, event.answer
    )
    yield from placement.place_waiting(shard)


def _end_attempt(
    shard: state.ShardState,
    attempt: state.Attempt,
    outcome: jobs.TaskResult,
    reason: str,
    status: int = 0,
    answer: bytes = b"",
) -> Iterator[effects.Effect]:
    record = shard.jobs[attempt.key.job_id]
    placement.release(shard, record, attempt)
    if outcome is not jobs.TaskResult.NOT_RUN:
        record.ran = jobs.Ran.RAN
    if record.state.is_final:
        return
    if _may_repeat(record.job, outcome):
        record.waiting.append(attempt.key.index)
        placement.enqueue(shard, record)
        return
    if outcome is jobs.TaskResult.SUCCEEDED:
        record.done.add(attempt.key.index)
    else:
        record.failed.add(attempt.key.index)
    yield effects.TaskSettled(key=attempt.key, result=outcome)
    yield from _finish_job(record, outcome, reason, status, answer)


def _may_repeat(job: jobs.Job, outcome: jobs.TaskResult) -> bool:
    if outcome is jobs.TaskResult.NOT_RUN:
        return True
    if job.kind is jobs.Kind.SERVICE:
        return True
    unclear = (
        jobs.TaskResult.UNKNOWN,
        jobs.TaskResult.STOPPED,
        jobs.TaskResult.CHECKPOINTED,
    )
    return job.idempotent and outcome in unclear


def _finish_job(
    record: state.JobRecord,
    outcome: jobs.TaskResult,
    reason: str,
    status: int,
    answer: bytes,
) -> Iterator[effects.Effect]:
    if len(record.done) + len(record.failed) < record.job.tasks:
        return
    if not record.failed:
        record.state = jobs.JobState.SUCCEEDED
    elif outcome is jobs.TaskResult.UNKNOWN:
        record.state = jobs.JobState.UNKNOWN
        record.ran = jobs.Ran.UNKNOWN
    else:
        record.state = jobs.JobState.FAILED
    yield effects.JobChanged(
        job_id=record.job.job_id,
        state=record.state,
        ran=record.ran,
        reason=reason,
        status=status,
        answer=answer,
    )


@handlers.register(events.Ticked)
def tick(
    shard: state.ShardState, event: events.Ticked
) -> Iterator[effects.Effect]:
    """Retries placements whose holds or delays have passed."""
    yield from placement.place_waiting(shard)
