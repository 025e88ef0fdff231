"""Deterministic reducer that turns events into effects, without I/O."""

from collections.abc import Callable
from collections.abc import Iterator

from hickoryreach.decisions import registry
from hickoryreach.scheduling import advice_requests
from hickoryreach.scheduling import crashes
from hickoryreach.scheduling import effects
from hickoryreach.scheduling import eligibility
from hickoryreach.scheduling import evacuation
from hickoryreach.scheduling import events
from hickoryreach.scheduling import gangs
from hickoryreach.scheduling import lifecycle
from hickoryreach.scheduling import minion_records
from hickoryreach.scheduling import misplaced_runs
from hickoryreach.scheduling import orders
from hickoryreach.scheduling import orphans
from hickoryreach.scheduling import pace
from hickoryreach.scheduling import placement
from hickoryreach.scheduling import poll_replies
from hickoryreach.scheduling import predecessors
from hickoryreach.scheduling import state
from hickoryreach.scheduling import throttling
from hickoryreach.scheduling import waits

Handler = Callable[[state.CellState, object], Iterator[effects.Effect]]

handlers: registry.Registry[type, Handler] = registry.Registry(
    title="scheduling handlers"
)

handlers.register(events.MinionPolled)(poll_replies.handle_reply)
handlers.register(events.LeaseExpired)(poll_replies.expire_lease)
handlers.register(events.StartContacted)(orders.handle_contact)
handlers.register(events.StartAnswered)(orders.handle_start_answer)
handlers.register(events.ShareAnswered)(throttling.handle_answer)
handlers.register(events.StopAnswered)(orders.handle_stop_answer)
handlers.register(events.CrashStored)(crashes.handle_stored)
handlers.register(events.JobRecovered)(lifecycle.recover)
handlers.register(events.AdviceCallEnded)(eligibility.handle_advice)
handlers.register(events.JobNotFound)(orphans.handle_not_found)


def reduce(
    cell: state.CellState, event: events.Event, now_ms: int
) -> list[effects.Effect]:
    """Applies one event; waiting tasks are placed by `advance`."""
    cell.now_ms = max(cell.now_ms, now_ms)
    return list(handlers.find(type(event))(cell, event))


def advance(cell: state.CellState, now_ms: int) -> list[effects.Effect]:
    """Places waiting tasks after one or several events."""
    cell.now_ms = max(cell.now_ms, now_ms)
    return list(placement.advance(cell))


@handlers.register(events.ConfigurationChanged)
def activate_configuration(
    cell: state.CellState, event: events.ConfigurationChanged
) -> Iterator[effects.Effect]:
    """Activates a configuration."""
    cell.configuration = event.configuration
    cell.configured_ms = cell.now_ms
    cell.dirty = True
    yield from ()


@handlers.register(events.MinionRegistered)
def register_minion(
    cell: state.CellState, event: events.MinionRegistered
) -> Iterator[effects.Effect]:
    """Adds a minion or updates its registration."""
    known = cell.minions.get(event.minion.minion_id)
    if known is None:
        known = minion_records.MinionRecord(
            minion=event.minion, kind_since=event.minion.incarnation
        )
        cell.minions[event.minion.minion_id] = known
    known.register(event.minion)
    known.leaves_ms = -1
    if event.minion.draining and event.minion.remaining_ms >= 0:
        known.leaves_ms = cell.now_ms + event.minion.remaining_ms
    cell.dirty = True
    yield from misplaced_runs.stop_all(cell, known)


@handlers.register(events.MinionUnregistered)
def unregister_minion(
    cell: state.CellState, event: events.MinionUnregistered
) -> Iterator[effects.Effect]:
    """Excludes a minion from placement; its runs may continue.

    Its record is removed when its lease expires, as it may list ends until
    then.
    """
    known = cell.minions.get(event.minion_id)
    if known is not None:
        known.unregistered = True
    yield from crashes.confirm(cell, event.minion_id, "minion_unregistered")


@handlers.register(events.MinionUnreachable)
def mark_unreachable(
    cell: state.CellState, event: events.MinionUnreachable
) -> Iterator[effects.Effect]:
    """Excludes a minion from placement until it answers again."""
    known = cell.minions.get(event.minion_id)
    if known is not None:
        known.reachable = False
    yield from ()


@handlers.register(events.JobOffered)
def add_offered_job(
    cell: state.CellState, event: events.JobOffered
) -> Iterator[effects.Effect]:
    """Adds a job that is being written to the store."""
    yield from lifecycle.add_offered(cell, event.job)


@handlers.register(events.JobAccepted)
def add_stored_job(
    cell: state.CellState, event: events.JobAccepted
) -> Iterator[effects.Effect]:
    """Adds a stored job and applies what minions have listed of it."""
    yield from lifecycle.accept(cell, event.job)
    yield from poll_replies.apply_deferred(cell, event.job.job_id)


@handlers.register(events.JobCancelled)
def cancel_job(
    cell: state.CellState, event: events.JobCancelled
) -> Iterator[effects.Effect]:
    """Cancels a job."""
    record = cell.jobs.get(event.job_id)
    if record is not None:
        yield from lifecycle.cancel(cell, record)


@handlers.register(events.JobAlreadyEnded)
def record_ended_job(
    cell: state.CellState, event: events.JobAlreadyEnded
) -> Iterator[effects.Effect]:
    """Records that a job has ended, so that none of its tasks starts."""
    cell.ended_jobs[event.job_id] = event.ended
    yield from ()


@handlers.register(events.EarlierRunsUnconfirmed)
def hold_back_for_earlier_runs(
    cell: state.CellState, event: events.EarlierRunsUnconfirmed
) -> Iterator[effects.Effect]:
    """Counts what earlier owners may have running for the limits."""
    cell.earlier_runs = predecessors.EarlierRuns(
        until_ms=dict(event.until_ms),
        elsewhere_until_ms=event.elsewhere_until_ms,
    )
    yield from ()


@handlers.register(events.EarlierRunsConfirmed)
def confirm_earlier_runs(
    cell: state.CellState, event: events.EarlierRunsConfirmed
) -> Iterator[effects.Effect]:
    """Lets the tasks of recovered jobs start."""
    cell.earlier_runs = None
    for record in cell.jobs.values():
        record.unconfirmed = False
    cell.dirty = True
    yield from ()


@handlers.register(events.Ticked)
def handle_tick(
    cell: state.CellState, event: events.Ticked
) -> Iterator[effects.Effect]:
    """Performs the periodic work."""
    cell.wall_ms = event.wall_ms
    cell.dirty = True
    lifecycle.drop_expired_offers(cell)
    yield from lifecycle.begin_due_repeats(cell)
    yield from orders.resend_stops(cell)
    yield from gangs.stop_partial_gangs(cell)
    yield from evacuation.evacuate(cell)
    yield from advice_requests.reorder_calls(cell)
    pace.update_median_speed(cell)
    yield from pace.stop_stalled_runs(cell)
    yield from crashes.end_doubts(cell)
    yield from waits.report(cell)
