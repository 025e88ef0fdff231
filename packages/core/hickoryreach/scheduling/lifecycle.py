"""Jobs from their acceptance to their final state."""

from collections.abc import Iterator

from hickoryreach.platform import minions
from hickoryreach.scheduling import effects
from hickoryreach.scheduling import events
from hickoryreach.scheduling import runs
from hickoryreach.scheduling import state
from hickoryreach.scheduling import submission_rates
from hickoryreach.structure import steps

ADVISED_MINIONS = 30


def offer(cell: state.CellState, job: steps.Job) -> Iterator[effects.Effect]:
    """Takes in a job that is not kept yet, so that advice may be asked."""
    if job.job_id in cell.jobs or job.job_id in cell.ended_job_ids:
        return
    record = _add(cell, job, cell.now_ms)
    record.excess = not submission_rates.take(cell, job.workspace)
    record.kept = False
    cell.offered[job.job_id] = record
    yield from _begin_due(cell, record)


def accept(cell: state.CellState, job: steps.Job) -> Iterator[effects.Effect]:
    """Takes in a job that is kept; one that is known changes nothing."""
    if job.job_id in cell.ended_job_ids:
        return
    record = cell.jobs.get(job.job_id)
    if record is not None and not record.kept:
        if record.job == job:
            record.kept = True
            del cell.offered[job.job_id]
            cell.dirty = True
            return
        withdraw(cell, record)
        record = None
    if record is None:
        record = _add(cell, job, cell.now_ms)
        record.excess = not submission_rates.take(cell, job.workspace)
        yield from _begin_due(cell, record)


def withdraw(cell: state.CellState, record: state.JobRecord) -> None:
    """Forgets an offered job of which nothing has started."""
    job_id = record.job.job_id
    cell.jobs.pop(job_id, None)
    cell.offered.pop(job_id, None)
    cell.timed.pop(job_id, None)
    for step in record.steps.values():
        cell.ready.pop(id(step), None)


def withdraw_old(cell: state.CellState) -> None:
    """Forgets offered jobs that were not kept in time."""
    horizon_ms = cell.now_ms - cell.settings.offer_ms
    for record in list(cell.offered.values()):
        if record.accepted_ms < horizon_ms:
            withdraw(cell, record)


def restore(
    cell: state.CellState, event: events.JobRecovered
) -> Iterator[effects.Effect]:
    """Takes over a job from an earlier owner."""
    job = event.job
    if job.job_id in cell.jobs:
        return
    age_ms = max(0, cell.wall_ms - job.accepted_ms)
    record = _add(cell, job, cell.now_ms - age_ms)
    record.unconfirmed_until_ms = event.unconfirmed_until_ms
    record.restored = True
    if event.cancelled:
        yield from finish(cell, record, state.JobState.CANCELLED, "restored")
        return
    yield from _begin_due(cell, record)
    for end in event.ends:
        yield from _replay(cell, record, end)


def _add(
    cell: state.CellState, job: steps.Job, accepted_ms: int
) -> state.JobRecord:
    queue = job.queue
    record = state.JobRecord(job=job, accepted_ms=accepted_ms)
    stretched = queue.stretch * get_chain_ms(job)
    record.due_ms = accepted_ms + int(stretched) + queue.objective_ms
    cell.jobs[job.job_id] = record
    if job.repeats:
        cell.timed[job.job_id] = record
    return record


def get_chain_ms(job: steps.Job) -> float:
    """Returns how long the longest chain of a job's steps takes, in ms."""
    advice = job.queue.advice
    extra = 0.0
    if advice is not None:
        extra = advice.call_ms + ADVISED_MINIONS * advice.minion_ms
    ends: list[float] = []
    for step in job.steps:
        before = max((ends[each] for each in step.after), default=0.0)
        ends.append(before + step.estimate_ms + extra)
    return max(ends, default=0.0)


def _begin_due(
    cell: state.CellState, record: state.JobRecord
) -> Iterator[effects.Effect]:
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
    cell.timed.pop(job.job_id, None)
    yield from ()


def begin_timed(cell: state.CellState) -> Iterator[effects.Effect]:
    """Begins the repeats that have become due."""
    for record in list(cell.timed.values()):
        yield from _begin_due(cell, record)


def make_ready(cell: state.CellState, step: state.StepRecord) -> None:
    """Lets a step's tasks start."""
    step.ready_ms = cell.now_ms
    step.waiting = {
        index: None
        for index in range(step.step.count)
        if index not in step.done and index not in step.runs
    }
    cell.ready[id(step)] = step
    cell.dirty = True


def _replay(
    cell: state.CellState, record: state.JobRecord, end: events.RecordedEnd
) -> Iterator[effects.Effect]:
    step = record.steps.get((end.key.repeat, end.key.step))
    if step is None or record.state.is_final:
        return
    step.numbers[end.key.index] = max(
        step.numbers.get(end.key.index, 0), end.number
    )
    yield from note_begun(record)
    yield from take_outcome(cell, step, end.key.index, end.number, end.kind)
    note_checkpoint(step, end.key.index, end.checkpoint)


def note_checkpoint(
    step: state.StepRecord, index: int, checkpoint: str
) -> None:
    """Keeps a checkpoint; one of any member serves a whole gang."""
    if checkpoint:
        step.checkpoints[0 if step.step.gang else index] = checkpoint


def take_outcome(
    cell: state.CellState,
    step: state.StepRecord,
    index: int,
    number: int,
    kind: minions.EndKind,
) -> Iterator[effects.Effect]:
    """Takes the outcome of a run that takes up no room any more."""
    if step.job.state.is_final:
        return
    if kind is minions.EndKind.DONE and not step.step.lasting:
        yield from _note_done(cell, step, index)
        return
    if kind is minions.EndKind.FAILED and not step.step.lasting:
        yield from _note_failed(cell, step, index, number)
        if step.job.state.is_final:
            return
    requeue(cell, step, index)


def requeue(cell: state.CellState, step: state.StepRecord, index: int) -> None:
    """Lets a task wait for its next start."""
    if index in step.done or index in step.runs or step.job.state.is_final:
        return
    step.waiting[index] = None
    cell.ready[id(step)] = step
    cell.dirty = True


def _note_done(
    cell: state.CellState, step: state.StepRecord, index: int
) -> Iterator[effects.Effect]:
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
            if later.ready_ms < 0 and _may_begin(record, later):
                make_ready(cell, later)
    if _is_complete(record):
        yield from finish(cell, record, state.JobState.COMPLETED, "done")


def _may_begin(record: state.JobRecord, step: state.StepRecord) -> bool:
    return all(
        record.steps[(step.repeat, each)].is_done for each in step.step.after
    )


def _is_complete(record: state.JobRecord) -> bool:
    if record.repeats_begun < max(1, record.job.repeats):
        return False
    return all(step.is_done for step in record.steps.values())


def _note_failed(
    cell: state.CellState, step: state.StepRecord, index: int, number: int
) -> Iterator[effects.Effect]:
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
    """Cancels a job; a final one stays as it is."""
    if not record.state.is_final:
        yield from finish(cell, record, state.JobState.CANCELLED, "caller")


def finish(
    cell: state.CellState,
    record: state.JobRecord,
    final: state.JobState,
    reason: str,
) -> Iterator[effects.Effect]:
    """Puts a job into a final state and stops what still runs of it."""
    record.state = final
    cell.timed.pop(record.job.job_id, None)
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
    """Stops a run that is not being stopped yet."""
    if run.phase in (state.Phase.STOPPING, state.Phase.UNCLEAR):
        return
    run.phase = state.Phase.STOPPING
    yield from send_stop(cell, run, reason)


def send_stop(
    cell: state.CellState, run: state.Run, reason: str
) -> Iterator[effects.Effect]:
    """Sends a stop, which is repeated until it is confirmed."""
    run.stop_sent_ms = cell.now_ms
    cell.unclear[id(run)] = run
    yield effects.StopTask(
        key=run.key, number=run.number, minion_id=run.minion_id, reason=reason
    )


def note_begun(record: state.JobRecord) -> Iterator[effects.Effect]:
    """Notes that a task of a job has started."""
    if record.begun or record.state.is_final:
        return
    record.begun = True
    record.state = state.JobState.RUNNING
    yield effects.JobChanged(
        job_id=record.job.job_id, state=state.JobState.RUNNING, reason="started"
    )


def give_up_run(
    cell: state.CellState, run: state.Run, reason: str, *, void: bool = False
) -> Iterator[effects.Effect]:
    """Frees a run that is certain not to run, and lets its task wait.

    Args:
        cell: The cell.
        run: The run.
        reason: Why it can't run, for logs.
        void: Whether a later end of the run does not count, as its lease is
            over or its minion's life has ended.
    """
    runs.free(cell, run)
    yield effects.LogDecision(
        event_name="run_gone",
        subject=minions.format_task(run.key),
        detail=f"{reason} run={run.number} minion={run.minion_id}",
    )
    if run.step is None:
        return
    if void:
        run.step.void.add((run.key.index, run.number))
    requeue(cell, run.step, run.key.index)
    yield from break_gang(cell, run.step, "member_gone")


def break_gang(
    cell: state.CellState, step: state.StepRecord, reason: str
) -> Iterator[effects.Effect]:
    """Stops the other members of a gang one of whose members has ended."""
    if not step.step.gang or step.is_done:
        return
    for run in list(step.runs.values()):
        yield from stop(cell, run, reason)
