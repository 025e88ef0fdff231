"""Cancellation of jobs, one by one or in waves."""

from collections.abc import Iterator

from hickoryreach.decisions import attempts
from hickoryreach.decisions import effects
from hickoryreach.decisions import outcomes
from hickoryreach.decisions import records
from hickoryreach.decisions import state
from hickoryreach.structure import jobs


def cancel(
    shard: state.ShardState, record: records.JobRecord
) -> Iterator[effects.Effect]:
    """Drops a job's waiting tasks and stops its running ones."""
    if record.state.is_final:
        return
    for attempt in record.running.values():
        yield attempts.ask_to_stop(shard, attempt, "cancelled")
    yield from outcomes.finish(shard, record, jobs.JobState.CANCELLED)


def begin_wave(shard: state.ShardState, workspace: str, wave: str) -> None:
    """Marks every job now in a wave as cancelled."""
    if (workspace, wave) in shard.waves:
        shard.sequence += 1
        shard.cancelling[(workspace, wave)] = shard.sequence


def is_marked(shard: state.ShardState, record: records.JobRecord) -> bool:
    """Returns whether a job belongs to a wave that is being cancelled."""
    if not shard.cancelling:
        return False
    key = (record.job.workspace, record.job.wave)
    return record.sequence < shard.cancelling.get(key, 0)


def advance(shard: state.ShardState) -> Iterator[effects.Effect]:
    """Cancels a bounded number of marked jobs."""
    for _ in range(shard.settings.cancellations_per_event):
        if not shard.cancelling:
            return
        key = next(iter(shard.cancelling))
        members = shard.waves.get(key)
        record = next(iter(members.values())) if members else None
        if record is None or not is_marked(shard, record):
            del shard.cancelling[key]
            continue
        yield from cancel(shard, record)
