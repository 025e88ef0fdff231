"""Workers that fail what they start."""

from collections.abc import Iterator

from hickoryreach.decisions import effects
from hickoryreach.decisions import estimates
from hickoryreach.decisions import ledger
from hickoryreach.decisions import records
from hickoryreach.decisions import reservations
from hickoryreach.decisions import state
from hickoryreach.decisions import timers
from hickoryreach.structure import jobs

WITNESSES = 16
BLAME = 1.0
BLAME_WITHOUT_WITNESS = 0.5
QUARANTINED_PART = 0.5
STRIKES_KEPT = 32

_FAILURES = (jobs.TaskResult.FAILED, jobs.TaskResult.UNKNOWN)


def note_end(
    shard: state.ShardState,
    worker: records.WorkerRecord,
    job: jobs.Job,
    key: jobs.TaskKey,
    result: jobs.TaskResult,
) -> None:
    """Counts the end of an attempt for or against its worker."""
    profile = estimates.get_profile(shard, job)
    worker_id = worker.worker.worker_id
    if result is jobs.TaskResult.SUCCEEDED:
        _witness(profile.succeeded_on, worker_id)
        profile.failed_on.pop(worker_id, None)
        _clear(shard, worker)
    elif result in _FAILURES:
        _witness(profile.failed_on, worker_id)
        cause = (
            key if _has_other(profile.succeeded_on, worker_id) else (key.job_id)
        )
        if len(worker.strikes) < STRIKES_KEPT:
            worker.strikes[cause] = profile
        _judge(shard, worker)


def _witness(names: dict[str, None], worker_id: str) -> None:
    names.pop(worker_id, None)
    names[worker_id] = None
    if len(names) > WITNESSES:
        del names[next(iter(names))]


def _has_other(names: dict[str, None], worker_id: str) -> bool:
    return len(names) > (worker_id in names)


def _count_others(names: dict[str, None], worker_id: str) -> int:
    return len(names) - (worker_id in names)


def get_blame(worker: records.WorkerRecord) -> float:
    """Returns how many failures in a row speak against a worker.

    A failure of a command that fails on more other workers than it succeeds
    on says nothing; one of a command with no record elsewhere counts half.
    """
    worker_id = worker.worker.worker_id
    blame = 0.0
    for profile in worker.strikes.values():
        failed = _count_others(profile.failed_on, worker_id)
        succeeded = _count_others(profile.succeeded_on, worker_id)
        if succeeded > failed:
            blame += BLAME
        elif not failed:
            blame += BLAME_WITHOUT_WITNESS
    return blame


def _judge(shard: state.ShardState, worker: records.WorkerRecord) -> None:
    if not shard.settings.quarantining:
        return
    blame = get_blame(worker)
    guilty = blame >= shard.settings.strikes or (worker.probing and blame)
    most = len(shard.workers) * QUARANTINED_PART
    known = worker.worker.worker_id in shard.quarantined
    if guilty and (known or len(shard.quarantined) < most):
        _set_aside(shard, worker)


def _set_aside(shard: state.ShardState, worker: records.WorkerRecord) -> None:
    if worker.quarantined_until_ms:
        return
    settings = shard.settings
    bound_ms = min(
        settings.quarantine_cap_ms,
        settings.quarantine_base_ms << min(worker.quarantines, 20),
    )
    delay_ms = shard.generator.randint(bound_ms * 3 // 4, bound_ms)
    worker.quarantines += 1
    worker.probing = False
    worker.quarantined_until_ms = shard.now_ms + delay_ms
    worker.strikes.clear()
    shard.quarantined[worker.worker.worker_id] = None
    ledger.refresh(shard, worker)
    reservations.drop_worker(shard, worker)
    timers.schedule(shard, worker.quarantined_until_ms, "probe", worker)


def _clear(shard: state.ShardState, worker: records.WorkerRecord) -> None:
    if not worker.strikes and not worker.quarantines:
        return
    worker.strikes.clear()
    if worker.quarantined_until_ms:
        return
    worker.probing = False
    worker.quarantines = 0
    shard.quarantined.pop(worker.worker.worker_id, None)
    ledger.refresh(shard, worker)


@timers.handlers.register("probe")
def probe(
    shard: state.ShardState, worker: records.WorkerRecord
) -> Iterator[effects.Effect]:
    """Lets a worker in quarantine have one task at a time."""
    if _is_member(shard, worker):
        worker.quarantined_until_ms = 0
        worker.probing = True
        worker.suspect = True
        ledger.refresh(shard, worker)
        due_ms = shard.now_ms + shard.settings.suspicion_ms
        timers.schedule(shard, due_ms, "suspicion", worker)
    yield from ()


@timers.handlers.register("suspicion")
def end_suspicion(
    shard: state.ShardState, worker: records.WorkerRecord
) -> Iterator[effects.Effect]:
    """Lets any task be the one that a worker is probed with."""
    if _is_member(shard, worker) and worker.probing and worker.suspect:
        worker.suspect = False
        if worker.open:
            ledger.offer(shard, worker)
    yield from ()


def _is_member(shard: state.ShardState, worker: records.WorkerRecord) -> bool:
    return shard.workers.get(worker.worker.worker_id) is worker


def is_trusted(worker: records.WorkerRecord, lane: records.Lane) -> bool:
    """Returns whether a worker may get the tasks of a lane."""
    return not (worker.probing and worker.suspect and lane.careful)
