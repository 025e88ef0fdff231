"""What the end of an attempt means for its task and job."""

from collections.abc import Iterator

from hickoryreach.decisions import attempts
from hickoryreach.decisions import effects
from hickoryreach.decisions import events
from hickoryreach.decisions import gangs
from hickoryreach.decisions import ledger
from hickoryreach.decisions import records
from hickoryreach.decisions import reservations
from hickoryreach.decisions import retries
from hickoryreach.decisions import state
from hickoryreach.structure import jobs
from hickoryreach.structure import resources


def end(
    shard: state.ShardState,
    attempt: records.Attempt,
    event: events.TaskEnded,
    *,
    lost: bool = False,
) -> Iterator[effects.Effect]:
    """Frees what an attempt held, then repeats or settles its task.

    Args:
        shard: The shard.
        attempt: A live attempt or a stray.
        event: How it ended.
        lost: Whether it ended because its worker was lost.
    """
    record = shard.jobs.get(attempt.key.job_id)
    if record is None or record.running.get(attempt.key.index) is not attempt:
        drop_stray(shard, attempt)
        return
    started = attempt.started
    attempts.unbind(shard, record, attempt)
    note_ran(record, event.result, started)
    if record.state.is_final:
        return
    checkpointed = event.result is jobs.TaskResult.CHECKPOINTED
    blameless = lost or attempt.preempted or checkpointed
    yield from settle(shard, record, event, blameless=blameless)


def drop_stray(shard: state.ShardState, attempt: records.Attempt) -> None:
    """Frees what a task held that belongs to no live attempt."""
    ledger.release(shard, attempt)
    group = shard.strays.get(attempt.key.job_id)
    if group is not None and group.pop(attempt.key, None) is not None:
        worker = shard.workers.get(attempt.worker_id)
        if worker is not None:
            worker.unidentified -= 1
            ledger.refresh(shard, worker)
        if not group:
            del shard.strays[attempt.key.job_id]


def note_ran(
    record: records.JobRecord, result: jobs.TaskResult, started: bool
) -> None:
    """Notes whether an attempt that ended so has run."""
    if result is jobs.TaskResult.NOT_RUN:
        return
    if result is jobs.TaskResult.UNKNOWN and not started:
        record.doubtful = True
    else:
        record.confirmed = True


def settle(
    shard: state.ShardState,
    record: records.JobRecord,
    event: events.TaskEnded,
    *,
    blameless: bool,
) -> Iterator[effects.Effect]:
    """Repeats or settles a task that has no live attempt any more."""
    job = record.job
    index = event.key.index
    if event.result is jobs.TaskResult.SUCCEEDED:
        retries.earn(shard, record)
    if retries.may_repeat(job, event.result):
        delay_ms = retries.get_delay_ms(
            shard, record, index, blameless=blameless
        )
        if delay_ms is not None:
            if job.kind is jobs.Kind.GANG:
                yield from gangs.regroup(shard, record)
            retries.wait(shard, record, index, delay_ms)
            yield from expire(shard, record)
            return
    yield from _settle_for_good(shard, record, event)


def _settle_for_good(
    shard: state.ShardState, record: records.JobRecord, event: events.TaskEnded
) -> Iterator[effects.Effect]:
    index = event.key.index
    result = _get_settled(record.job, event.result)
    if result is jobs.TaskResult.SUCCEEDED:
        record.done.add(index)
    else:
        record.failed.add(index)
    if result is jobs.TaskResult.UNKNOWN:
        record.unknown.add(index)
    yield effects.TaskSettled(key=event.key, result=result)
    yield from finish_if_settled(shard, record, event)
    if record.job.kind is jobs.Kind.GANG:
        gangs.queue(shard, record)


def _get_settled(job: jobs.Job, result: jobs.TaskResult) -> jobs.TaskResult:
    if result is jobs.TaskResult.SUCCEEDED:
        return result
    if result in (jobs.TaskResult.FAILED, jobs.TaskResult.NOT_RUN):
        return jobs.TaskResult.FAILED
    return jobs.TaskResult.UNKNOWN


def finish_if_settled(
    shard: state.ShardState, record: records.JobRecord, event: events.TaskEnded
) -> Iterator[effects.Effect]:
    """Ends a job whose every task is settled."""
    if len(record.done) + len(record.failed) < record.job.tasks:
        return
    if not record.failed:
        final = jobs.JobState.SUCCEEDED
    elif record.unknown:
        final = jobs.JobState.UNKNOWN
    elif record.ran is jobs.ExecutionStatus.NOT_RUN:
        final = jobs.JobState.REFUSED
    else:
        final = jobs.JobState.FAILED
    yield from finish(
        shard,
        record,
        final,
        reason=event.reason,
        status=event.status,
        answer=event.answer,
    )


def finish(
    shard: state.ShardState,
    record: records.JobRecord,
    final: jobs.JobState,
    *,
    reason: str = "",
    detail: str = "",
    status: int = 0,
    answer: bytes = b"",
) -> Iterator[effects.Effect]:
    """Puts a job into a final state."""
    job = record.job
    record.state = final
    left = len(record.waiting) + len(record.delayed)
    ledger.add_waiting(shard, record, -left)
    record.waiting.clear()
    record.delayed.clear()
    for kept in list(record.claims):
        reservations.drop(shard, kept)
    gangs.disband(shard, record)
    clear_doubt(shard, record)
    shard.restored.pop(job.job_id, None)
    _leave_wave(shard, record)
    due_ms = shard.now_ms + shard.settings.forget_ms
    shard.finals.append((due_ms, record))
    yield effects.JobChanged(
        job_id=job.job_id,
        state=final,
        ran=record.ran,
        reason=reason,
        detail=detail,
        status=status,
        answer=answer,
    )


def clear_doubt(shard: state.ShardState, record: records.JobRecord) -> None:
    """No longer counts what an earlier owner may have left running."""
    if record.doubt == resources.ZERO:
        return
    workspace = ledger.get_workspace(shard, record.job.workspace)
    workspace.doubt = workspace.doubt - record.doubt
    record.doubt = resources.ZERO
    ledger.promote(shard, workspace)


def reduce_doubt(shard: state.ShardState, record: records.JobRecord) -> None:
    """Counts one attempt less as possibly left by an earlier owner."""
    need = record.job.need
    if not need.fits_in(record.doubt):
        return
    workspace = ledger.get_workspace(shard, record.job.workspace)
    record.doubt = record.doubt - need
    workspace.doubt = workspace.doubt - need


def _leave_wave(shard: state.ShardState, record: records.JobRecord) -> None:
    job = record.job
    members = shard.waves.get((job.workspace, job.wave))
    if members is not None:
        members.pop(job.job_id, None)
        if not members:
            del shard.waves[(job.workspace, job.wave)]


def expire(
    shard: state.ShardState, record: records.JobRecord
) -> Iterator[effects.Effect]:
    """Gives up a job that waits past its timeout without a live attempt."""
    job = record.job
    if not job.timeout_ms or record.state.is_final or record.running:
        return
    if record.on_hold or record.unclear or record.done:
        return
    if shard.now_ms < record.queued_ms + job.timeout_ms:
        return
    final = jobs.JobState.REFUSED
    if record.ran is jobs.ExecutionStatus.RAN:
        final = jobs.JobState.FAILED
    elif record.ran is jobs.ExecutionStatus.UNKNOWN:
        final = jobs.JobState.UNKNOWN
    yield from finish(
        shard,
        record,
        final,
        reason="timeout",
        detail="No worker became free before the job's timeout.",
    )


def forget(shard: state.ShardState) -> None:
    """Drops final jobs whose time to be remembered has passed."""
    settings = shard.settings
    for _ in range(settings.timers_per_event):
        if not shard.finals:
            return
        due_ms, record = shard.finals[0]
        crowded = len(shard.finals) > settings.final_jobs_limit
        if due_ms > shard.now_ms and not crowded:
            return
        shard.finals.popleft()
        if record.running:
            later_ms = shard.now_ms + settings.forget_ms
            shard.finals.append((later_ms, record))
            if crowded:
                return
        elif shard.jobs.get(record.job.job_id) is record:
            del shard.jobs[record.job.job_id]
