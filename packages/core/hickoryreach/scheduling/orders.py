"""Starts of tasks, answers to starts and stops, and retries of stops."""

from collections.abc import Iterator

from hickoryreach.platform import minions
from hickoryreach.scheduling import effects
from hickoryreach.scheduling import events
from hickoryreach.scheduling import lifecycle
from hickoryreach.scheduling import minion_records
from hickoryreach.scheduling import runs
from hickoryreach.scheduling import state
from hickoryreach.scheduling import unseen_usage

REFUSAL_QUARANTINE_MS = 500


def handle_contact(
    cell: state.CellState, event: events.StartContacted
) -> Iterator[effects.Effect]:
    """Notes that a minion was there right before a start was sent."""
    minion = cell.minions.get(event.minion_id)
    run = minion and minion.runs.get((event.key, event.number))
    if run is not None:
        run.contacted = True
    yield from ()


def handle_start_answer(
    cell: state.CellState, event: events.StartAnswered
) -> Iterator[effects.Effect]:
    """Handles the answer to a start, or that there was none."""
    minion = cell.minions.get(event.minion_id)
    run = minion and minion.runs.get((event.key, event.number))
    if run is None:
        return
    failure = event.failure
    if failure is None:
        yield from _confirm(cell, run)
    elif failure.refusal is None and failure.effect_unknown:
        yield from _handle_uncertain_start(cell, run, failure.reason)
    elif run.phase is not state.Phase.RUNNING:
        yield from _handle_refusal(cell, minion, run, failure)


def _confirm(cell: state.CellState, run: state.Run) -> Iterator[effects.Effect]:
    """Marks a run as confirmed."""
    if run.confirmed_ms < 0:
        run.confirmed_ms = cell.now_ms
        run.progress_ms = cell.now_ms
    if run.phase is state.Phase.SENT:
        run.phase = state.Phase.RUNNING
        if run.step is not None:
            yield from lifecycle.mark_started(run.step.job)


def _handle_uncertain_start(
    cell: state.CellState, run: state.Run, reason: str
) -> Iterator[effects.Effect]:
    """Sends a stop for a start that got no answer."""
    if run.phase is not state.Phase.SENT:
        return
    run.phase = state.Phase.UNCLEAR
    yield effects.LogDecision(
        event_name="start_unclear",
        subject=minions.format_task(run.key),
        detail=f"{reason} run={run.number} minion={run.minion_id}",
    )
    yield from lifecycle.send_stop(cell, run, "start_unclear")
    if run.step is not None:
        yield from lifecycle.stop_gang_members(cell, run.step, "member_unclear")


def _handle_refusal(
    cell: state.CellState,
    minion: minion_records.MinionRecord,
    run: state.Run,
    failure: minions.OrderFailure,
) -> Iterator[effects.Effect]:
    """Drops a refused run unless it may have ended already."""
    step = run.step
    if failure.refusal is minions.Refusal.STALE_RUN:
        yield from _await_end(cell, run)
        return
    if failure.refusal in (
        minions.Refusal.UNHEALTHY,
        minions.Refusal.NO_CAPACITY,
        None,
    ):
        until_ms = cell.now_ms + REFUSAL_QUARANTINE_MS
        minion.quarantined_until_ms = max(minion.quarantined_until_ms, until_ms)
    if failure.refusal is minions.Refusal.INVALID_TICKET and step is not None:
        step.tickets.pop(run.minion_id, None)
    yield from lifecycle.drop_run(
        cell, run, f"refused_{failure.refusal or failure.reason}"
    )


def _await_end(
    cell: state.CellState, run: state.Run
) -> Iterator[effects.Effect]:
    """Polls the minion for the end of a run that it refused as stale.

    A start that was sent twice over a broken connection may have run to its
    end in between, which only the next poll shows. The run can't begin any
    more.
    """
    run.phase = state.Phase.UNCLEAR
    run.stopped_ms = cell.now_ms
    yield effects.PollMinion(minion_id=run.minion_id)


def handle_stop_answer(
    cell: state.CellState, event: events.StopAnswered
) -> Iterator[effects.Effect]:
    """Handles the answer to a stop."""
    minion = cell.minions.get(event.minion_id)
    run = minion and minion.runs.get((event.key, event.number))
    if run is None or not event.confirmed:
        return
    run.stopped_ms = cell.now_ms
    cell.unclear.pop(id(run), None)
    if run.phase is state.Phase.UNCLEAR:
        yield effects.PollMinion(minion_id=run.minion_id)


def resend_stops(cell: state.CellState) -> Iterator[effects.Effect]:
    """Sends stops again that were not confirmed in time."""
    for run in list(cell.unclear.values()):
        age_ms = cell.now_ms - run.stop_sent_ms
        if age_ms >= cell.settings.stop_retry_ms:
            yield from lifecycle.send_stop(cell, run, "retry")


def start(
    cell: state.CellState,
    step: state.StepRecord,
    index: int,
    minion: minion_records.MinionRecord,
    number: int,
) -> Iterator[effects.Effect]:
    """Starts a task on a minion."""
    key = step.get_key(index)
    minion_id = minion.minion.minion_id
    crashed = step.crashes.get(index)
    ticket = step.tickets.get(minion_id)
    run = state.Run(
        key=key,
        number=number,
        minion_id=minion_id,
        incarnation=minion.incarnation,
        step=step,
        need=step.need,
        limit_need=step.limit_need,
        workspace=step.job.job.workspace,
        phase=state.Phase.SENT,
        sent_ms=cell.now_ms,
    )
    runs.add(cell, minion, run)
    step.waiting_since_ms = cell.now_ms
    if not step.waiting:
        cell.ready.pop(id(step), None)
    yield effects.StartTask(
        key=key,
        number=number,
        minion_id=minion_id,
        payload=step.job.job.payload,
        checkpoint=step.checkpoints.get(0 if step.step.gang else index, ""),
        ticket=ticket.text if ticket else "",
        valid_until_ms=cell.now_ms + cell.settings.start_valid_ms,
        incarnation=minion.incarnation,
        contact_first=crashed is not None and crashed.needs_solitude,
        detail=_describe_limit(cell, run),
    )


def _describe_limit(cell: state.CellState, run: state.Run) -> str:
    """Returns what a workspace uses with a new run, and its limit, for logs."""
    used = cell.usage[run.workspace]
    limit = runs.get_limit(cell, run.workspace)
    unseen = unseen_usage.get_earlier_usage(cell, run.workspace)
    return (
        f"workspace={run.workspace} used_cpu={used.cpu_millis} "
        f"limit_cpu={limit.cpu_millis} used_memory={used.memory_mb} "
        f"limit_memory={limit.memory_mb} unseen_cpu={unseen.cpu_millis} "
        f"configuration={cell.configuration.version} "
        f"configuration_ms={cell.now_ms - cell.configured_ms}"
    )
