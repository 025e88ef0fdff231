"""The reducer: one event in, effects out, no clock and no I/O."""

from collections.abc import Callable
from collections.abc import Iterator

from hickoryreach.decisions import adoption
from hickoryreach.decisions import cancellation
from hickoryreach.decisions import effects
from hickoryreach.decisions import estimates
from hickoryreach.decisions import events
from hickoryreach.decisions import fleet
from hickoryreach.decisions import gangs
from hickoryreach.decisions import intake
from hickoryreach.decisions import ledger
from hickoryreach.decisions import outcomes
from hickoryreach.decisions import placement
from hickoryreach.decisions import probes
from hickoryreach.decisions import quarantine
from hickoryreach.decisions import records
from hickoryreach.decisions import registry
from hickoryreach.decisions import starvation
from hickoryreach.decisions import state
from hickoryreach.decisions import timers
from hickoryreach.decisions import upkeep
from hickoryreach.structure import jobs
from hickoryreach.structure import resources

Handler = Callable[[state.ShardState, object], Iterator[effects.Effect]]

handlers: registry.Registry[type, Handler] = registry.Registry(
    title="event handlers"
)


def reduce(
    shard: state.ShardState, event: events.Event, now_ms: int
) -> list[effects.Effect]:
    """Applies `event` to `shard` and returns the effects in order.

    Work that would take long is bounded within each event and carried on
    with the next; `ShardState.has_more` tells whether some was left.
    """
    shard.now_ms = max(shard.now_ms, now_ms)
    handle = handlers.find(type(event))
    out = list(handle(shard, event))
    out.extend(placement.advance(shard))
    return out


@handlers.register(events.EntitlementsChanged)
def change_entitlements(
    shard: state.ShardState, event: events.EntitlementsChanged
) -> Iterator[effects.Effect]:
    """Puts new entitlements in force."""
    intake.change_entitlements(shard, event.entitlements)
    yield from ()


@handlers.register(events.WorkerJoined)
def join_worker(
    shard: state.ShardState, event: events.WorkerJoined
) -> Iterator[effects.Effect]:
    """Adds a worker and adopts what it runs."""
    worker = fleet.join(shard, event.worker)
    yield from adoption.take_list(shard, worker, event.running)
    ledger.refresh(shard, worker)
    yield from fleet.relieve(shard, worker)
    yield from fleet.vacate(shard, worker)


@handlers.register(events.WorkerReported)
def report_worker(
    shard: state.ShardState, event: events.WorkerReported
) -> Iterator[effects.Effect]:
    """Takes in a usage report."""
    worker = shard.workers.get(event.worker_id)
    if worker is None:
        return
    if not worker.reachable:
        worker.reachable = True
        ledger.refresh(shard, worker)
    yield from adoption.take_list(shard, worker, event.running)


@handlers.register(events.WorkerUnreachable)
def suspend_worker(
    shard: state.ShardState, event: events.WorkerUnreachable
) -> Iterator[effects.Effect]:
    """Stops placing work on a worker that does not answer."""
    worker = shard.workers.get(event.worker_id)
    if worker is not None:
        fleet.suspend(shard, worker)
    yield from ()


@handlers.register(events.WorkerLost)
def lose_worker(
    shard: state.ShardState, event: events.WorkerLost
) -> Iterator[effects.Effect]:
    """Takes back what a lost worker held."""
    worker = shard.workers.get(event.worker_id)
    if worker is not None:
        yield from fleet.lose(shard, worker)


@handlers.register(events.JobSubmitted)
def submit_job(
    shard: state.ShardState, event: events.JobSubmitted
) -> Iterator[effects.Effect]:
    """Queues a job's tasks."""
    yield from intake.submit(shard, event)


@handlers.register(events.JobRestored)
def restore_job(
    shard: state.ShardState, event: events.JobRestored
) -> Iterator[effects.Effect]:
    """Takes over a job from the journal."""
    yield from intake.restore(shard, event)


@handlers.register(events.HoldsCleared)
def clear_holds(
    shard: state.ShardState, event: events.HoldsCleared
) -> Iterator[effects.Effect]:
    """Lets restored jobs start."""
    adoption.begin_clearing(shard)
    yield from ()


@handlers.register(events.JobCancelled)
def cancel_job(
    shard: state.ShardState, event: events.JobCancelled
) -> Iterator[effects.Effect]:
    """Drops waiting tasks and stops running ones."""
    record = shard.jobs.get(event.job_id)
    if record is not None:
        yield from cancellation.cancel(shard, record)


@handlers.register(events.WaveCancelled)
def cancel_wave(
    shard: state.ShardState, event: events.WaveCancelled
) -> Iterator[effects.Effect]:
    """Cancels every job of a wave."""
    cancellation.begin_wave(shard, event.workspace, event.wave)
    yield from ()


@handlers.register(events.TaskStarted)
def confirm_start(
    shard: state.ShardState, event: events.TaskStarted
) -> Iterator[effects.Effect]:
    """Notes that an attempt is running."""
    worker = shard.workers.get(event.worker_id)
    attempt = worker and worker.attempts.get(event.key)
    if attempt and not attempt.started:
        yield from adoption.confirm_start(shard, attempt)


@handlers.register(events.TaskEnded)
def end_task(
    shard: state.ShardState, event: events.TaskEnded
) -> Iterator[effects.Effect]:
    """Settles or repeats an attempt that ended."""
    worker = shard.workers.get(event.worker_id)
    attempt = worker and worker.attempts.get(event.key)
    if not attempt:
        yield from adoption.end_unheld(shard, event)
        return
    adoption.note_ended(shard, worker, event.key)
    record = shard.jobs.get(event.key.job_id)
    if record is not None:
        _learn(shard, worker, record, attempt, event)
    yield from outcomes.end(shard, attempt, event)


def _learn(
    shard: state.ShardState,
    worker: records.WorkerRecord,
    record: records.JobRecord,
    attempt: records.Attempt,
    event: events.TaskEnded,
) -> None:
    if not attempt.stopping:
        quarantine.note_end(shard, worker, record.job, event.key, event.result)
    if record.job.kind is jobs.Kind.REQUEST:
        used = resources.ZERO
    else:
        used = estimates.correct(shard, record.job, event.used, attempt.held)
    probes.note_end(shard, attempt, record.job, event.used)
    succeeded = event.result is jobs.TaskResult.SUCCEEDED
    run_ms = event.run_ms if succeeded else 0
    if run_ms or used != resources.ZERO:
        estimates.learn(shard, record.job, used, run_ms)


@handlers.register(events.Ticked)
def tick(
    shard: state.ShardState, event: events.Ticked
) -> Iterator[effects.Effect]:
    """Handles what has become due."""
    yield from timers.run_due(shard)
    yield from upkeep.run(shard)
    gangs.reconsider(shard)
    starvation.keep_room(shard)
