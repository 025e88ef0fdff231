"""What workers list as running, against what is believed.

A complete list that leaves out a started attempt may have crossed its start
on the way, so the attempt counts as ended only when lists have left it out
for `Settings.omission_ms`. A list that names an attempt whose end came in
less than that ago is taken to be older than the end. An attempt that was
never acknowledged is not judged by lists: its start may still be under way.
"""

from collections.abc import Iterator

from hickoryreach.decisions import attempts
from hickoryreach.decisions import effects
from hickoryreach.decisions import estimates
from hickoryreach.decisions import events
from hickoryreach.decisions import ledger
from hickoryreach.decisions import outcomes
from hickoryreach.decisions import overruns
from hickoryreach.decisions import probes
from hickoryreach.decisions import records
from hickoryreach.decisions import retries
from hickoryreach.decisions import state
from hickoryreach.decisions import timers
from hickoryreach.structure import jobs
from hickoryreach.structure import resources
from hickoryreach.structure import workers


def take_list(
    shard: state.ShardState,
    worker: records.WorkerRecord,
    running: tuple[workers.RunningTask, ...],
) -> Iterator[effects.Effect]:
    """Compares a worker's complete list with what is placed on it."""
    _forget_ended(shard, worker)
    expected = len(worker.attempts)
    matched = 0
    for task in running:
        attempt = worker.attempts.get(task.key)
        if attempt is None:
            yield from _meet(shard, worker, task)
            continue
        matched += 1
        yield from _confirm(shard, worker, attempt, task)
    if matched < expected:
        yield from _miss(shard, worker, {task.key for task in running})


def note_ended(
    shard: state.ShardState, worker: records.WorkerRecord, key: jobs.TaskKey
) -> None:
    """Remembers an end, so that an older list does not undo it."""
    _forget_ended(shard, worker)
    worker.ended[key] = shard.now_ms


def _forget_ended(
    shard: state.ShardState, worker: records.WorkerRecord
) -> None:
    horizon_ms = shard.now_ms - shard.settings.omission_ms
    while worker.ended:
        key = next(iter(worker.ended))
        if worker.ended[key] > horizon_ms:
            return
        del worker.ended[key]


def _confirm(
    shard: state.ShardState,
    worker: records.WorkerRecord,
    attempt: records.Attempt,
    task: workers.RunningTask,
) -> Iterator[effects.Effect]:
    attempt.missing_since_ms = -1
    if not attempt.started:
        yield from confirm_start(shard, attempt)
    if attempt.stopping:
        asked_ms = shard.now_ms - attempt.stop_asked_ms
        if asked_ms >= shard.settings.stop_retry_ms:
            yield attempts.ask_to_stop(shard, attempt, attempt.stop_reason)
    elif task.used != attempt.used:
        attempt.used = task.used
        record = shard.jobs.get(task.key.job_id)
        if record is not None and record.job.kind is not jobs.Kind.REQUEST:
            yield from _weigh_use(shard, worker, attempt, record.job)


def _weigh_use(
    shard: state.ShardState,
    worker: records.WorkerRecord,
    attempt: records.Attempt,
    job: jobs.Job,
) -> Iterator[effects.Effect]:
    if not attempt.used.fits_in(attempt.held):
        estimates.note_overrun(shard, job, attempt.used)
        probes.note_overrun(shard, attempt, job)
    probes.note_use(shard, attempt, job)
    yield from overruns.check(shard, worker, attempt)
    yield from probes.check(shard, worker, attempt, job)


def confirm_start(
    shard: state.ShardState, attempt: records.Attempt
) -> Iterator[effects.Effect]:
    """Notes that an attempt is running."""
    attempt.started = True
    record = shard.jobs.get(attempt.key.job_id)
    if record is None or attempt.stray:
        return
    record.confirmed = True
    if record.state is jobs.JobState.ACCEPTED:
        record.state = jobs.JobState.RUNNING
        yield effects.JobChanged(
            job_id=attempt.key.job_id, state=record.state, ran=record.ran
        )


def _miss(
    shard: state.ShardState,
    worker: records.WorkerRecord,
    listed: set[jobs.TaskKey],
) -> Iterator[effects.Effect]:
    for attempt in list(worker.attempts.values()):
        if attempt.key in listed or not attempt.started:
            continue
        if attempt.missing_since_ms < 0:
            attempt.missing_since_ms = shard.now_ms
            continue
        missing_ms = shard.now_ms - attempt.missing_since_ms
        if missing_ms < shard.settings.omission_ms:
            continue
        event = events.TaskEnded(
            key=attempt.key,
            worker_id=attempt.worker_id,
            result=jobs.TaskResult.UNKNOWN,
            reason="not listed",
        )
        yield from outcomes.end(shard, attempt, event)


def _meet(
    shard: state.ShardState,
    worker: records.WorkerRecord,
    task: workers.RunningTask,
) -> Iterator[effects.Effect]:
    if task.key in worker.ended:
        return
    record = shard.jobs.get(task.key.job_id)
    if record is None:
        yield from _keep_unidentified(shard, worker, task)
    elif _is_wanted(record, task.key):
        yield from _adopt(shard, record, worker, task)
    else:
        yield from _keep_stray(shard, record, worker, task)


def _get_held(
    record: records.JobRecord, task: workers.RunningTask
) -> resources.Resources:
    """Returns what to set aside for a listed task.

    An earlier owner may have given it more or less than its job declares.
    """
    if record.job.kind is jobs.Kind.REQUEST:
        return record.job.need
    if task.allocated != resources.ZERO:
        return task.allocated.elementwise_max(task.used)
    return record.job.need.elementwise_max(task.used)


def _is_wanted(record: records.JobRecord, key: jobs.TaskKey) -> bool:
    index = key.index
    if record.state.is_final or index in record.running:
        return False
    if index in record.unclear:
        return record.unclear[index] == key
    waits = index in record.waiting or index in record.delayed
    return waits and key.attempt >= record.attempts.get(index, 0)


def _adopt(
    shard: state.ShardState,
    record: records.JobRecord,
    worker: records.WorkerRecord,
    task: workers.RunningTask,
) -> Iterator[effects.Effect]:
    key = task.key
    if record.unclear.pop(key.index, None) is None:
        ledger.add_waiting(shard, record, -1)
        record.waiting.pop(key.index, None)
        record.delayed.discard(key.index)
    outcomes.reduce_doubt(shard, record)
    held = _get_held(record, task)
    attempt = attempts.bind(shard, record, worker, key, held)
    yield from confirm_start(shard, attempt)


def _keep_stray(
    shard: state.ShardState,
    record: records.JobRecord,
    worker: records.WorkerRecord,
    task: workers.RunningTask,
) -> Iterator[effects.Effect]:
    attempt = records.Attempt(
        key=task.key,
        worker_id=worker.worker.worker_id,
        held=_get_held(record, task),
        placed_ms=shard.now_ms,
        workspace=record.job.workspace,
        started=True,
        stray=True,
    )
    ledger.hold(shard, worker, attempt)
    reason = "cancelled" if record.state.is_final else "superseded"
    yield attempts.ask_to_stop(shard, attempt, reason)


def _keep_unidentified(
    shard: state.ShardState,
    worker: records.WorkerRecord,
    task: workers.RunningTask,
) -> Iterator[effects.Effect]:
    attempt = records.Attempt(
        key=task.key,
        worker_id=worker.worker.worker_id,
        held=task.allocated.elementwise_max(task.used),
        placed_ms=shard.now_ms,
        started=True,
        stray=True,
    )
    worker.unidentified += 1
    shard.strays.setdefault(task.key.job_id, {})[task.key] = attempt
    ledger.hold(shard, worker, attempt)
    if shard.settled:
        yield attempts.ask_to_stop(shard, attempt, "unknown task")
        return
    due_ms = shard.now_ms + shard.settings.stray_ms
    timers.schedule(shard, due_ms, "stray", attempt)


@timers.handlers.register("stray")
def stop_unidentified(
    shard: state.ShardState, attempt: records.Attempt
) -> Iterator[effects.Effect]:
    """Stops a listed task whose job did not turn up."""
    group = shard.strays.get(attempt.key.job_id, {})
    if group.get(attempt.key) is attempt and not attempt.stopping:
        yield attempts.ask_to_stop(shard, attempt, "unknown task")


def identify(
    shard: state.ShardState, record: records.JobRecord
) -> Iterator[effects.Effect]:
    """Matches what came before a job did: listed tasks, and ends."""
    job_id = record.job.job_id
    for attempt in list(shard.strays.get(job_id, {}).values()):
        worker = shard.workers[attempt.worker_id]
        outcomes.drop_stray(shard, attempt)
        task = workers.RunningTask(
            key=attempt.key, used=attempt.used, allocated=attempt.held
        )
        yield from _meet(shard, worker, task)
    for event in shard.early_ends.pop(job_id, {}).values():
        yield from end_unheld(shard, event)


def end_unheld(
    shard: state.ShardState, event: events.TaskEnded
) -> Iterator[effects.Effect]:
    """Takes in the end of an attempt that an earlier owner placed."""
    key = event.key
    record = shard.jobs.get(key.job_id)
    if record is None:
        if not shard.settled:
            shard.early_ends.setdefault(key.job_id, {})[key] = event
        return
    if record.state.is_final:
        return
    if record.unclear.get(key.index) == key:
        del record.unclear[key.index]
    elif _is_awaited(record, key):
        record.waiting.pop(key.index)
        ledger.add_waiting(shard, record, -1)
        record.attempts[key.index] = key.attempt
    else:
        return
    outcomes.reduce_doubt(shard, record)
    outcomes.note_ran(record, event.result, started=False)
    yield from outcomes.settle(shard, record, event, blameless=True)


def _is_awaited(record: records.JobRecord, key: jobs.TaskKey) -> bool:
    return (
        record.on_hold
        and key.index in record.waiting
        and key.attempt >= record.attempts.get(key.index, 0)
    )


def lose(
    shard: state.ShardState, worker: records.WorkerRecord
) -> Iterator[effects.Effect]:
    """Ends everything on a worker whose leases have lapsed."""
    for attempt in worker.attempts.values():
        attempt.stopping = True
    for attempt in list(worker.attempts.values()):
        event = events.TaskEnded(
            key=attempt.key,
            worker_id=attempt.worker_id,
            result=jobs.TaskResult.UNKNOWN,
            reason="worker lost",
        )
        yield from outcomes.end(shard, attempt, event, lost=True)


def clear_hold(
    shard: state.ShardState, record: records.JobRecord
) -> Iterator[effects.Effect]:
    """Ends the wait for an earlier owner's attempts of a job."""
    shard.restored.pop(record.job.job_id, None)
    record.hold_until_ms = 0
    record.on_hold = False
    outcomes.clear_doubt(shard, record)
    if record.state.is_final:
        return
    for key in list(record.unclear.values()):
        del record.unclear[key.index]
        record.doubtful = True
        event = events.TaskEnded(
            key=key,
            worker_id="",
            result=jobs.TaskResult.UNKNOWN,
            reason="outcome unknown",
        )
        yield from outcomes.settle(shard, record, event, blameless=True)
    if not record.state.is_final:
        retries.resume(shard, record)
        yield from outcomes.expire(shard, record)


@timers.handlers.register("hold")
def end_hold(
    shard: state.ShardState, record: records.JobRecord
) -> Iterator[effects.Effect]:
    """Clears a job's hold when its time has passed."""
    if record.on_hold and record.hold_until_ms <= shard.now_ms:
        yield from clear_hold(shard, record)


def begin_clearing(shard: state.ShardState) -> None:
    """Notes that nothing of an earlier owner can turn up any more."""
    shard.settled = True
    shard.clearing = True
    shard.early_ends.clear()


def advance(shard: state.ShardState) -> Iterator[effects.Effect]:
    """Clears a bounded number of holds and stops unidentified tasks."""
    if not shard.clearing:
        return
    for _ in range(shard.settings.restores_per_event):
        if not shard.restored:
            shard.clearing = False
            yield from _stop_all_unidentified(shard)
            return
        record = next(iter(shard.restored.values()))
        yield from clear_hold(shard, record)


def _stop_all_unidentified(
    shard: state.ShardState,
) -> Iterator[effects.Effect]:
    for group in list(shard.strays.values()):
        for attempt in group.values():
            if not attempt.stopping:
                yield attempts.ask_to_stop(shard, attempt, "unknown task")
