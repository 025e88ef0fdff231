"""Processor demand of attempts that use all they were given.

An attempt at its cap shows only that it would use at least that much. One
attempt of such a command gets a higher cap where its worker has room, and
what it then uses tells the demand of the rest.
"""

from collections.abc import Iterator
import dataclasses

from hickoryreach.decisions import effects
from hickoryreach.decisions import estimates
from hickoryreach.decisions import ledger
from hickoryreach.decisions import limits
from hickoryreach.decisions import records
from hickoryreach.decisions import state
from hickoryreach.structure import jobs
from hickoryreach.structure import resources

AT_CAP_PERCENT = 95
RAISE_FACTOR = 5
LEAST_RAISE_PERCENT = 125


def check(
    shard: state.ShardState,
    worker: records.WorkerRecord,
    attempt: records.Attempt,
    job: jobs.Job,
) -> Iterator[effects.Effect]:
    """Raises the cap of an attempt that may want more."""
    profile = estimates.get_profile(shard, job)
    if profile.cap_known or profile.probe is not None:
        return
    if not shard.settings.learning or not is_at_cap(attempt):
        return
    room = min(
        worker.available.cpu_millis,
        attempt.held.cpu_millis * (RAISE_FACTOR - 1),
    )
    raised = attempt.held.cpu_millis + max(0, room)
    if raised * 100 < attempt.held.cpu_millis * LEAST_RAISE_PERCENT:
        return
    growth = resources.Resources(cpu_millis=room)
    workspace = ledger.get_workspace(shard, job.workspace)
    if not limits.has_room(workspace, growth):
        return
    profile.probe = attempt
    profile.probed_from = attempt.held.cpu_millis
    held = dataclasses.replace(attempt.held, cpu_millis=raised)
    ledger.resize(shard, worker, attempt, held)
    yield effects.ThrottleTask(
        key=attempt.key, worker_id=attempt.worker_id, cpu_millis=raised
    )


def is_at_cap(attempt: records.Attempt) -> bool:
    """Returns whether an attempt uses all the processor time it may."""
    held = attempt.held.cpu_millis
    return held > 0 and attempt.used.cpu_millis * 100 >= held * AT_CAP_PERCENT


def note_overrun(
    shard: state.ShardState, attempt: records.Attempt, job: jobs.Job
) -> None:
    """Notes that a command is not held back where it uses more than given."""
    if attempt.used.cpu_millis > attempt.held.cpu_millis:
        estimates.get_profile(shard, job).cap_known = True


def note_use(
    shard: state.ShardState, attempt: records.Attempt, job: jobs.Job
) -> None:
    """Takes in what an attempt with a raised cap uses."""
    profile = estimates.get_profile(shard, job)
    if profile.probe is not attempt:
        return
    if attempt.used.cpu_millis * 100 > profile.probed_from * (
        LEAST_RAISE_PERCENT
    ):
        estimates.note_overrun(shard, job, attempt.used)


def note_end(
    shard: state.ShardState,
    attempt: records.Attempt,
    job: jobs.Job,
    used: resources.Resources,
) -> None:
    """Takes in the peak use of an attempt whose cap was raised."""
    profile = estimates.get_profile(shard, job)
    if profile.probe is not attempt:
        return
    profile.probe = None
    if used.cpu_millis:
        attempt.used = used
        profile.cap_known = not is_at_cap(attempt)
