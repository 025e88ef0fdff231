"""Jobs and entitlements as they come in."""

from collections.abc import Iterator

from hickoryreach.decisions import adoption
from hickoryreach.decisions import effects
from hickoryreach.decisions import events
from hickoryreach.decisions import ledger
from hickoryreach.decisions import outcomes
from hickoryreach.decisions import records
from hickoryreach.decisions import retries
from hickoryreach.decisions import state
from hickoryreach.decisions import timers
from hickoryreach.structure import jobs
from hickoryreach.structure import workspaces


def change_entitlements(
    shard: state.ShardState,
    entitlements: tuple[workspaces.Entitlement, ...],
) -> None:
    """Puts new entitlements in force; a workspace left out is closed."""
    named = set()
    for entitlement in entitlements:
        named.add(entitlement.workspace)
        record = ledger.get_workspace(shard, entitlement.workspace)
        if record.allowed and record.entitlement == entitlement:
            continue
        record.entitlement = entitlement
        record.allowed = True
        ledger.promote(shard, record)
    for name, record in shard.workspaces.items():
        if name not in named:
            record.allowed = False
    shard.weight = sum(each.share for each in entitlements)


def submit(
    shard: state.ShardState, event: events.JobSubmitted
) -> Iterator[effects.Effect]:
    """Queues a new job; one that is known already changes nothing."""
    job = event.job
    if job.job_id in shard.jobs:
        return
    record = _add(shard, job, event.entry)
    record.waiting = dict.fromkeys(range(job.tasks - 1, -1, -1))
    ledger.add_waiting(shard, record, job.tasks)
    yield from adoption.identify(shard, record)
    retries.resume(shard, record)


def _add(
    shard: state.ShardState, job: jobs.Job, entry: str
) -> records.JobRecord:
    shard.sequence += 1
    record = records.JobRecord(
        job=job,
        entry=entry,
        sequence=shard.sequence,
        queued_ms=shard.now_ms,
    )
    shard.jobs[job.job_id] = record
    ledger.get_workspace(shard, job.workspace)
    if job.wave:
        members = shard.waves.setdefault((job.workspace, job.wave), {})
        members[job.job_id] = record
    if job.timeout_ms:
        due_ms = shard.now_ms + job.timeout_ms
        timers.schedule(shard, due_ms, "timeout", record)
    return record


def restore(
    shard: state.ShardState, event: events.JobRestored
) -> Iterator[effects.Effect]:
    """Takes over a job from an earlier owner."""
    job = event.job
    if job.job_id in shard.jobs:
        return
    record = _add(shard, job, "")
    _take_progress(record, event)
    ledger.add_waiting(shard, record, len(record.waiting))
    record.hold_until_ms = event.hold_until_ms
    record.on_hold = event.hold_until_ms > shard.now_ms
    if record.on_hold:
        _count_doubt(shard, record)
        timers.schedule(shard, event.hold_until_ms, "hold", record)
    yield from adoption.identify(shard, record)
    if record.state.is_final:
        return
    if record.on_hold or (record.unclear and not shard.settled):
        shard.restored[job.job_id] = record
    elif record.unclear:
        yield from adoption.clear_hold(shard, record)
    if len(record.done) + len(record.failed) >= job.tasks:
        yield from _finish(shard, record)
    retries.resume(shard, record)


def _take_progress(
    record: records.JobRecord, event: events.JobRestored
) -> None:
    job = event.job
    record.done = set(event.done)
    record.failed = set(event.failed) - record.done
    record.attempts = dict(event.attempts)
    for key in event.unclear:
        known = record.attempts.get(key.index, 0)
        record.attempts[key.index] = max(known, key.attempt)
        settled = key.index in record.done or key.index in record.failed
        if not job.idempotent and not settled:
            record.unclear[key.index] = key
    settled = record.done | record.failed | record.unclear.keys()
    record.waiting = {
        index: None
        for index in range(job.tasks - 1, -1, -1)
        if index not in settled
    }
    record.confirmed = bool(record.done or record.failed)
    record.doubtful = job.idempotent


def _count_doubt(shard: state.ShardState, record: records.JobRecord) -> None:
    count = len(record.unclear)
    if record.job.idempotent:
        count += len(record.waiting)
    record.doubt = record.job.need.times(count)
    workspace = ledger.get_workspace(shard, record.job.workspace)
    workspace.doubt = workspace.doubt + record.doubt


def _finish(
    shard: state.ShardState, record: records.JobRecord
) -> Iterator[effects.Effect]:
    if record.state.is_final:
        return
    final = jobs.JobState.SUCCEEDED
    if record.unknown:
        final = jobs.JobState.UNKNOWN
    elif record.failed:
        final = jobs.JobState.FAILED
    yield from outcomes.finish(shard, record, final)


@timers.handlers.register("timeout")
def time_out(
    shard: state.ShardState, record: records.JobRecord
) -> Iterator[effects.Effect]:
    """Gives up a job that still waits at its timeout."""
    yield from outcomes.expire(shard, record)
