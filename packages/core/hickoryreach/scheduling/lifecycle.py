"""Lifecycle of jobs, from submission to their final state."""

from collections.abc import Iterator

from hickoryreach.platform import minions
from hickoryreach.scheduling import crash_records
from hickoryreach.scheduling import effects
from hickoryreach.scheduling import events
from hickoryreach.scheduling import runs
from hickoryreach.scheduling import state
from hickoryreach.scheduling import submission_rates
from hickoryreach.structure import steps

ASSUMED_NAMED_MINIONS = 30


def add_offered(
    cell: state.CellState, job: steps.Job
) -> Iterator[effects.Effect]:
    """Adds a job that is not stored yet.

    Advice can be requested for it, but none of its tasks may start.
    """
    if job.job_id in cell.jobs or job.job_id in cell.ended_jobs:
        return
    record = _create_record(cell, job, cell.now_ms)
    record.exceeds_share = not submission_rates.consume(cell, job.workspace)
    record.kept = False
    cell.offered[job.job_id] = record
    yield from _begin_repeats(cell, record)


def accept(cell: state.CellState, job: steps.Job) -> Iterator[effects.Effect]:
    """Adds a stored job, or marks an offered job as stored.

    An offered job with other contents is replaced. A job already known as
    stored or ended is left unchanged.
    """
    if job.job_id in cell.ended_jobs:
        return
    record = cell.jobs.get(job.job_id)
    if record is not None and not record.kept:
        if record.job == job:
            record.kept = True
            del cell.offered[job.job_id]
            cell.dirty = True
            return
        drop_offered(cell, record)
        record = None
    if record is None:
        record = _create_record(cell, job, cell.now_ms)
        record.exceeds_share = not submission_rates.consume(cell, job.workspace)
        yield from _begin_repeats(cell, record)


def drop_offered(cell: state.CellState, record: state.JobRecord) -> None:
    """Removes an offered job, none of whose tasks has started."""
    job_id = record.job.job_id
    cell.jobs.pop(job_id, None)
    cell.offered.pop(job_id, None)
    cell.pending_repeats.pop(job_id, None)
    for step in record.steps.values():
        cell.ready.pop(id(step), None)


def drop_expired_offers(cell: state.CellState) -> None:
    """Removes offered jobs that were not stored within the time-out."""
    horizon_ms = cell.now_ms - cell.settings.offer_timeout_ms
    for record in list(cell.offered.values()):
        if record.accepted_ms < horizon_ms:
            drop_offered(cell, record)


def recover(
    cell: state.CellState, event: events.JobRecovered
) -> Iterator[effects.Effect]:
    """Rebuilds the record of a job of an earlier owner."""
    job = event.job
    if job.job_id in cell.jobs:
        return
    age_ms = max(0, cell.wall_ms - job.accepted_ms)
    record = _create_record(cell, job, cell.now_ms - age_ms)
    record.unconfirmed = event.unconfirmed
    record.recovered = True
    record.hiding_epochs = event.hiding_epochs
    if event.cancelled:
        yield from finish(cell, record, state.JobState.CANCELLED, "restored")
        return
    yield from _begin_repeats(cell, record)
    for end in event.ends:
        yield from _apply_recorded_end(cell, record, end)


def _create_record(
    cell: state.CellState, job: steps.Job, accepted_ms: int
) -> state.JobRecord:
    """Creates the record of a job with its due time."""
    queue = job.queue
    record = state.JobRecord(job=job, accepted_ms=accepted_ms)
    stretched = queue.stretch * get_critical_path_ms(job)
    record.due_ms = accepted_ms + int(stretched) + queue.objective_ms
    cell.jobs[job.job_id] = record
    if job.repeats:
        cell.pending_repeats[job.job_id] = record
    return record


def get_critical_path_ms(job: steps.Job) -> float:
    """Returns the estimated length of a job's critical path, in ms."""
    advice = job.queue.advice
    extra = 0.0
    if advice is not None:
        extra = advice.call_ms + ASSUMED_NAMED_MINIONS * advice.minion_ms
    ends: list[float] = []
    for step in job.steps:
        before = max((ends[each] for each in step.after), default=0.0)
        ends.append(before + step.estimate_ms + extra)
    return max(ends, default=0.0)


def _begin_repeats(
    cell: state.CellState, record: state.JobRecord
) -> Iterator[effects.Effect]:
    """Begins the due repeats of a job; a job without repeats begins at once."""
    job = record.job
    total = max(1, job.repeats)
    while record.repeats_begun < total:
        repeat = record.repeats_begun
        due_ms = job.first_ms + repeat * job.interval_ms
        if job.repeats and cell.wall_ms < due_ms:
            return
        record.repeats_begun += 1
        for position, step in enumerate(job.steps):
            record.steps[(repeat, position)] = state.StepRecord(
                job=record, repeat=repeat, position=position, step=step
            )
        for position, step in enumerate(job.steps):
            if not step.after:
                make_ready(cell, record.steps[(repeat, position)])
    cell.pending_repeats.pop(job.job_id, None)
    yield from ()


def begin_due_repeats(cell: state.CellState) -> Iterator[effects.Effect]:
    """Begins all repeats that have become due."""
    for record in list(cell.pending_repeats.values()):
        yield from _begin_repeats(cell, record)


def make_ready(cell: state.CellState, step: state.StepRecord) -> None:
    """Queues the tasks of a step whose predecessors are done."""
    step.ready_ms = cell.now_ms
    step.waiting_since_ms = cell.now_ms
    step.waiting = {
        index: None
        for index in range(step.step.count)
        if index not in step.done and index not in step.runs
    }
    cell.ready[id(step)] = step
    cell.dirty = True


def _apply_recorded_end(
    cell: state.CellState, record: state.JobRecord, end: events.RecordedEnd
) -> Iterator[effects.Effect]:
    """Applies an end that an earlier owner recorded."""
    step = record.steps.get((end.key.repeat, end.key.step))
    if step is None or record.state.is_final:
        return
    step.highest_numbers[end.key.index] = max(
        step.highest_numbers.get(end.key.index, 0), end.number
    )
    yield from mark_started(record)
    if crash_records.is_crash_row(end.kind, end.checkpoint):
        crash_records.apply_row(
            step.crashes,
            end.key.index,
            end.number,
            end.kind,
            len(record.hiding_epochs),
            proven=end.proven,
        )
        return
    yield from apply_outcome(cell, step, end.key.index, end.number, end.kind)
    record_checkpoint(step, end.key.index, end.checkpoint)


def record_checkpoint(
    step: state.StepRecord, index: int, checkpoint: str
) -> None:
    """Records a checkpoint; that of any member is valid for the whole gang."""
    if checkpoint:
        step.checkpoints[0 if step.step.gang else index] = checkpoint


def apply_outcome(
    cell: state.CellState,
    step: state.StepRecord,
    index: int,
    number: int,
    kind: minions.EndKind,
) -> Iterator[effects.Effect]:
    """Applies the outcome of a run whose capacity was released."""
    if step.job.state.is_final:
        return
    if kind is minions.EndKind.DONE and not step.step.lasting:
        yield from _mark_done(cell, step, index)
        return
    if kind is minions.EndKind.FAILED and not step.step.lasting:
        yield from _count_failure(cell, step, index, number)
        if step.job.state.is_final:
            return
    requeue(cell, step, index)


def requeue(cell: state.CellState, step: state.StepRecord, index: int) -> None:
    """Queues a task for its next start unless a crash must be stored first.

    A step that is not ready yet gets all of its tasks queued once it is.
    """
    if step.ready_ms < 0:
        return
    if index in step.done or index in step.runs or step.job.state.is_final:
        return
    crashed = step.crashes.get(index)
    if crashed is not None and crashed.must_wait:
        return
    step.waiting[index] = None
    step.waiting_since_ms = cell.now_ms
    cell.ready[id(step)] = step
    cell.dirty = True


def _mark_done(
    cell: state.CellState, step: state.StepRecord, index: int
) -> Iterator[effects.Effect]:
    """Marks a task, or a whole gang, as done and readies later steps."""
    if step.is_done:
        return
    if step.step.gang:
        step.done.update(range(step.step.count))
        step.waiting.clear()
    else:
        step.done.add(index)
        step.waiting.pop(index, None)
    if not step.is_done:
        return
    cell.ready.pop(id(step), None)
    record = step.job
    for position, other in enumerate(record.job.steps):
        if step.position in other.after:
            later = record.steps[(step.repeat, position)]
            if later.ready_ms < 0 and _are_predecessors_done(record, later):
                make_ready(cell, later)
    if _is_complete(record):
        yield from finish(cell, record, state.JobState.COMPLETED, "done")


def _are_predecessors_done(
    record: state.JobRecord, step: state.StepRecord
) -> bool:
    return all(
        record.steps[(step.repeat, each)].is_done for each in step.step.after
    )


def _is_complete(record: state.JobRecord) -> bool:
    if record.repeats_begun < max(1, record.job.repeats):
        return False
    return all(step.is_done for step in record.steps.values())


def _count_failure(
    cell: state.CellState, step: state.StepRecord, index: int, number: int
) -> Iterator[effects.Effect]:
    """Counts a failed run once; fails the job after its last attempt."""
    counted = 0 if step.step.gang else index
    if (counted, number) in step.failed_runs:
        return
    step.failed_runs.add((counted, number))
    step.failures[counted] += 1
    if step.failures[counted] >= step.job.job.queue.attempts:
        yield from finish(cell, step.job, state.JobState.FAILED, "attempts")


def cancel(
    cell: state.CellState, record: state.JobRecord
) -> Iterator[effects.Effect]:
    """Cancels a job that is not in a final state."""
    if not record.state.is_final:
        yield from finish(cell, record, state.JobState.CANCELLED, "caller")


def finish(
    cell: state.CellState,
    record: state.JobRecord,
    final: state.JobState,
    reason: str,
) -> Iterator[effects.Effect]:
    """Moves a job to a final state; stops its runs unless it completed."""
    record.state = final
    cell.pending_repeats.pop(record.job.job_id, None)
    cell.dirty = True
    yield effects.JobChanged(
        job_id=record.job.job_id, state=final, reason=reason
    )
    for step in record.steps.values():
        cell.ready.pop(id(step), None)
        step.waiting.clear()
        if final is state.JobState.COMPLETED:
            continue
        for run in list(step.runs.values()):
            yield from stop(cell, run, str(final))


def stop(
    cell: state.CellState, run: state.Run, reason: str
) -> Iterator[effects.Effect]:
    """Stops a run unless a stop is already under way."""
    if run.phase in (state.Phase.STOPPING, state.Phase.UNCLEAR):
        return
    run.phase = state.Phase.STOPPING
    yield from send_stop(cell, run, reason)


def send_stop(
    cell: state.CellState, run: state.Run, reason: str
) -> Iterator[effects.Effect]:
    """Sends a stop, which is sent again until the minion confirms it."""
    run.stop_sent_ms = cell.now_ms
    cell.unclear[id(run)] = run
    yield effects.StopTask(
        key=run.key, number=run.number, minion_id=run.minion_id, reason=reason
    )


def mark_started(record: state.JobRecord) -> Iterator[effects.Effect]:
    """Marks a job as running when the first of its tasks has started."""
    if record.begun or record.state.is_final:
        return
    record.begun = True
    record.state = state.JobState.RUNNING
    yield effects.JobChanged(
        job_id=record.job.job_id, state=state.JobState.RUNNING, reason="started"
    )


def drop_run(
    cell: state.CellState,
    run: state.Run,
    reason: str,
    *,
    invalidate: bool = False,
) -> Iterator[effects.Effect]:
    """Releases a run that is certain not to execute, and requeues its task.

    Args:
        cell: State of the cell.
        run: The run.
        reason: Why it can't execute, for logs.
        invalidate: Whether to ignore a later end of the run, because its lease
            has expired or its minion has restarted.
    """
    runs.free(cell, run)
    yield effects.LogDecision(
        event_name="run_gone",
        subject=minions.format_task(run.key),
        detail=f"{reason} run={run.number} minion={run.minion_id}",
    )
    if run.step is None:
        return
    if invalidate:
        run.step.invalidated.add((run.key.index, run.number))
    requeue(cell, run.step, run.key.index)
    yield from stop_gang_members(cell, run.step, "member_gone")


def stop_gang_members(
    cell: state.CellState, step: state.StepRecord, reason: str
) -> Iterator[effects.Effect]:
    """Stops the runs of a gang that has lost a member."""
    if not step.step.gang or step.is_done:
        return
    for run in list(step.runs.values()):
        yield from stop(cell, run, reason)
