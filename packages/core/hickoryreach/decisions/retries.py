"""Repeats of tasks: which, how often and how soon."""

from collections.abc import Iterator

from hickoryreach.decisions import effects
from hickoryreach.decisions import estimates
from hickoryreach.decisions import gangs
from hickoryreach.decisions import ledger
from hickoryreach.decisions import ordering
from hickoryreach.decisions import records
from hickoryreach.decisions import state
from hickoryreach.decisions import timers
from hickoryreach.structure import jobs

_UNCLEAR = (
    jobs.TaskResult.UNKNOWN,
    jobs.TaskResult.STOPPED,
    jobs.TaskResult.CHECKPOINTED,
)


def may_repeat(job: jobs.Job, outcome: jobs.TaskResult) -> bool:
    """Returns whether a task that ended so may be run again."""
    if outcome is jobs.TaskResult.NOT_RUN:
        return True
    if outcome in _UNCLEAR:
        return job.idempotent
    return job.kind is jobs.Kind.SERVICE


def earn(shard: state.ShardState, record: records.JobRecord) -> None:
    """Adds a success to the repeats that a command may make."""
    profile = estimates.get_profile(shard, record.job)
    profile.tokens = min(
        shard.settings.retry_tokens,
        profile.tokens + shard.settings.retry_ratio,
    )


def get_delay_ms(
    shard: state.ShardState,
    record: records.JobRecord,
    index: int,
    *,
    blameless: bool,
) -> int | None:
    """Returns the delay before the next repeat, or None for no repeat.

    The delay doubles with each repeat, less a random part. A command that has
    used up its repeats waits for the longest delay, and a request, whose
    caller would not, is not repeated.

    Args:
        shard: The shard.
        record: The job.
        index: The task.
        blameless: Whether the attempt ended for the scheduler's reasons.
    """
    if blameless:
        return 0
    settings = shard.settings
    count = record.repeats.get(index, 0) + 1
    record.repeats[index] = count
    if record.job.kind is not jobs.Kind.SERVICE and count > (
        settings.retry_limit
    ):
        return None
    profile = estimates.get_profile(shard, record.job)
    bound_ms = min(
        settings.retry_cap_ms, settings.retry_base_ms << min(count - 1, 20)
    )
    if profile.tokens >= 1:
        profile.tokens -= 1
    elif record.job.kind is jobs.Kind.REQUEST:
        return None
    else:
        bound_ms = settings.retry_cap_ms
    return shard.generator.randint(bound_ms // 2, bound_ms)


def wait(
    shard: state.ShardState,
    record: records.JobRecord,
    index: int,
    delay_ms: int,
) -> None:
    """Lets a task wait again, after a delay."""
    ledger.add_waiting(shard, record, 1)
    if delay_ms <= 0:
        record.waiting[index] = None
        resume(shard, record)
        return
    record.delayed.add(index)
    timers.schedule(shard, shard.now_ms + delay_ms, "repeat", (record, index))


def resume(shard: state.ShardState, record: records.JobRecord) -> None:
    """Puts a job with waiting tasks where it finds workers."""
    if record.job.kind is jobs.Kind.GANG:
        gangs.queue(shard, record)
    else:
        ordering.enqueue(shard, record)


@timers.handlers.register("repeat")
def repeat(
    shard: state.ShardState, subject: tuple[records.JobRecord, int]
) -> Iterator[effects.Effect]:
    """Ends the delay of a task."""
    record, index = subject
    if index in record.delayed:
        record.delayed.remove(index)
        record.waiting[index] = None
        resume(shard, record)
    yield from ()
