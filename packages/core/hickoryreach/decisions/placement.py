"""Places waiting tasks on workers."""

from collections.abc import Callable
from collections.abc import Iterator

from hickoryreach.decisions import adoption
from hickoryreach.decisions import attempts
from hickoryreach.decisions import cancellation
from hickoryreach.decisions import effects
from hickoryreach.decisions import gangs
from hickoryreach.decisions import limits
from hickoryreach.decisions import matching
from hickoryreach.decisions import ordering
from hickoryreach.decisions import preemption
from hickoryreach.decisions import quarantine
from hickoryreach.decisions import records
from hickoryreach.decisions import registry
from hickoryreach.decisions import requests
from hickoryreach.decisions import services
from hickoryreach.decisions import state
from hickoryreach.structure import jobs
from hickoryreach.structure import resources

Fit = Callable[
    [state.ShardState, records.Lane, records.JobRecord],
    records.WorkerRecord | None,
]

ACCELERATOR_COST = 10.0
STRIKE_COST = 4.0
SKEW_COST = 2.0

fits: registry.Registry[str, Fit] = registry.Registry(title="fits")


def advance(shard: state.ShardState) -> Iterator[effects.Effect]:
    """Carries on with work that is bounded within each event."""
    yield from cancellation.advance(shard)
    yield from adoption.advance(shard)
    ordering.resize_learned(shard)
    yield from preemption.use_ready(shard)
    gangs.choose(shard)
    budget = shard.settings.placements_per_event
    yield from gangs.launch(shard, budget)
    yield from _place_waiting(shard, budget)
    yield from gangs.launch(shard, budget)
    yield from preemption.make_room(shard)
    yield from preemption.make_way(shard)


def _place_waiting(
    shard: state.ShardState, budget: int
) -> Iterator[effects.Effect]:
    for _ in range(shard.settings.steps_per_event):
        if shard.grown:
            matching.offer_next(shard)
        found = ordering.next_lane(shard)
        if found is None or budget <= 0:
            return
        lane, queue = found
        if queue is None:
            worker = _choose(shard, lane, lane.gang)
            gangs.gather(shard, lane, worker)
            continue
        for effect in _place_next(shard, lane, queue):
            budget -= 1
            yield effect


def _place_next(
    shard: state.ShardState, lane: records.Lane, queue: records.JobQueue
) -> Iterator[effects.Effect]:
    record = ordering.get_job(queue)
    if record is None:
        return
    if cancellation.is_marked(shard, record):
        yield from cancellation.cancel(shard, record)
    elif not _is_allowed(shard, lane, queue.workspace):
        _park(shard, lane, queue)
    else:
        worker = _choose(shard, lane, record)
        if worker is None:
            ordering.block(shard, lane)
            return
        if lane.priority == ordering.ORDINARY:
            shard.served_key = queue.pushed
            shard.served_sequence = record.sequence
        yield attempts.place(shard, record, worker, lane.need)


def _park(
    shard: state.ShardState, lane: records.Lane, queue: records.JobQueue
) -> None:
    ordering.park(queue)
    if lane.priority == ordering.URGENT:
        name = queue.workspace.entitlement.workspace
        shard.limited[(name, queue.key)] = queue


def _is_allowed(
    shard: state.ShardState,
    lane: records.Lane,
    workspace: records.WorkspaceRecord,
) -> bool:
    if limits.has_room(workspace, lane.need):
        return True
    if lane.priority != ordering.URGENT:
        return False
    return gangs.make_way(shard, workspace, lane.need)


def _choose(
    shard: state.ShardState, lane: records.Lane, record: records.JobRecord
) -> records.WorkerRecord | None:
    if lane.blocked:
        return _choose_candidate(shard, lane, record)
    if record.job.kind is jobs.Kind.SERVICE:
        return services.choose(shard, lane, record)
    if lane.pool:
        return requests.choose(shard, lane, record)
    return fits.find(shard.settings.fit)(shard, lane, record)


def _choose_candidate(
    shard: state.ShardState, lane: records.Lane, record: records.JobRecord
) -> records.WorkerRecord | None:
    fitting: list[records.WorkerRecord] = []
    for worker_id in list(lane.candidates):
        worker = shard.workers.get(worker_id)
        if (
            worker is None
            or not worker.open
            or not lane.need.fits_in(worker.available)
        ):
            del lane.candidates[worker_id]
        elif quarantine.is_trusted(worker, lane):
            fitting.append(worker)
    if not fitting:
        return None
    if record.job.kind is jobs.Kind.SERVICE:
        return min(fitting, key=lambda each: services.rank(record, each))
    return min(fitting, key=lambda each: score_fit(each, lane.need))


def get_available(worker: records.WorkerRecord) -> resources.Resources:
    """Returns the room for new tasks on a worker."""
    return worker.available


def score_fit(worker: records.WorkerRecord, need: resources.Resources) -> float:
    """Returns how much a task would leave unused on a worker, and how skewed.

    The lowest score is the best fit.
    """
    room = worker.available
    size = worker.worker.capacity
    cpu = (room.cpu_millis - need.cpu_millis) / (size.cpu_millis or 1)
    memory = (room.memory_mb - need.memory_mb) / (size.memory_mb or 1)
    score = cpu + memory + SKEW_COST * abs(cpu - memory)
    if room.accelerators > need.accelerators:
        score += ACCELERATOR_COST
    if worker.strikes:
        score += STRIKE_COST
    return score


@fits.register("best_fit")
def find_best_fit(
    shard: state.ShardState, lane: records.Lane, record: records.JobRecord
) -> records.WorkerRecord | None:
    """Returns the worker whose remaining room a task fits best."""
    need = lane.need
    best = None
    best_score = 0.0
    for worker in shard.free.search(need, get_available):
        if worker.probing and not quarantine.is_trusted(worker, lane):
            continue
        score = score_fit(worker, need)
        if best is None or score < best_score:
            best = worker
            best_score = score
    return best


@fits.register("first_fit")
def find_first_fit(
    shard: state.ShardState, lane: records.Lane, record: records.JobRecord
) -> records.WorkerRecord | None:
    """Returns the first worker to have joined that has room."""
    for worker in shard.workers.values():
        if worker.open and lane.need.fits_in(worker.available):
            return worker
    return None
