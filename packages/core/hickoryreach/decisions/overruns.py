"""Attempts that use more than they were given."""

from collections.abc import Iterator

from hickoryreach.decisions import effects
from hickoryreach.decisions import ledger
from hickoryreach.decisions import limits
from hickoryreach.decisions import preemption
from hickoryreach.decisions import records
from hickoryreach.decisions import state
from hickoryreach.structure import resources


def check(
    shard: state.ShardState,
    worker: records.WorkerRecord,
    attempt: records.Attempt,
) -> Iterator[effects.Effect]:
    """Grows what an attempt holds to its use, or curbs the use.

    Without room to grow, processor use is capped; memory is freed by
    checkpointing the attempt when it is preemptible, else the cheapest
    preemptible ones beside it. Use above the worker's capacity counts as its
    capacity: no placement could ever make room for more.
    """
    held = attempt.held
    wanted = held.elementwise_max(_get_credible_use(worker, attempt))
    if wanted == held or attempt.stopping:
        return
    growth = wanted - held
    workspace = ledger.get_workspace(shard, attempt.workspace)
    allowed = limits.has_room(workspace, growth)
    if allowed and growth.fits_in(worker.available):
        ledger.resize(shard, worker, attempt, wanted)
        return
    if growth.cpu_millis and not attempt.throttled:
        attempt.throttled = True
        yield effects.ThrottleTask(
            key=attempt.key,
            worker_id=attempt.worker_id,
            cpu_millis=held.cpu_millis,
        )
    if growth.memory_mb:
        yield from _free_memory(shard, worker, attempt, growth)


def _get_credible_use(
    worker: records.WorkerRecord, attempt: records.Attempt
) -> resources.Resources:
    capacity = worker.worker.capacity
    return resources.Resources(
        cpu_millis=min(attempt.used.cpu_millis, capacity.cpu_millis),
        memory_mb=min(attempt.used.memory_mb, capacity.memory_mb),
    )


def _free_memory(
    shard: state.ShardState,
    worker: records.WorkerRecord,
    attempt: records.Attempt,
    growth: resources.Resources,
) -> Iterator[effects.Effect]:
    if attempt.preemptible:
        yield from preemption.displace(shard, worker, attempt)
        return
    memory = resources.Resources(memory_mb=growth.memory_mb)
    for victim in preemption.pick_victims(shard, worker, memory):
        yield from preemption.displace(shard, worker, victim)
