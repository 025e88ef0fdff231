"""Selects the minions that may run a step, by their kind and by advice."""

from collections.abc import Iterator

from hickoryreach.scheduling import advice_tickets
from hickoryreach.scheduling import effects
from hickoryreach.scheduling import events
from hickoryreach.scheduling import free_capacity
from hickoryreach.scheduling import minion_records
from hickoryreach.scheduling import state
from hickoryreach.structure import cells

RECHECK_WAIT_MS = 5_000
DEFAULT_ALLOWED_FRACTION = 0.35
MIN_ALLOWED_FRACTION = 0.1
SAMPLE_WEIGHT = 0.1


def get_advice_terms(
    cell: state.CellState, step: state.StepRecord
) -> cells.AdviceTerms | None:
    """Returns the advice terms of a step's queue as currently configured."""
    stored = step.job.job.queue
    current = cell.configuration.queues.get(stored.name, stored)
    return current.advice


def list_minions(
    cell: state.CellState,
    step: state.StepRecord,
    available: free_capacity.FreeCapacity,
) -> list[str]:
    """Returns the minions that may run a step, whether or not it fits now."""
    open_minion_ids = available.open_minion_ids.get(
        free_capacity.get_service(cell, step), []
    )
    if not step.step.label:
        return open_minion_ids
    return [
        minion_id
        for minion_id in open_minion_ids
        if free_capacity.has_label(cell.minions[minion_id], step)
    ]


def is_of_kind(
    cell: state.CellState, step: state.StepRecord, minion_id: str
) -> bool:
    """Returns whether a minion has the service and label that a step needs."""
    minion = cell.minions[minion_id]
    service = free_capacity.get_service(cell, step)
    return minion.minion.service == service and free_capacity.has_label(
        minion, step
    )


def list_usable_minions(
    cell: state.CellState,
    step: state.StepRecord,
    available: free_capacity.FreeCapacity,
) -> list[str]:
    """Returns the minions that may run a step as far as advice is known."""
    eligible = list_minions(cell, step, available)
    if get_advice_terms(cell, step) is None:
        return eligible
    return [
        minion_id
        for minion_id in eligible
        if minion_id in available.free and _is_allowed(cell, step, minion_id)
    ]


def _is_allowed(
    cell: state.CellState, step: state.StepRecord, minion_id: str
) -> bool:
    """Returns whether advice has allowed a minion's present incarnation."""
    incarnation = cell.minions[minion_id].incarnation
    return (
        step.allowed is not None and step.allowed.get(minion_id) == incarnation
    )


def has_ticket(
    cell: state.CellState,
    step: state.StepRecord,
    minion_id: str,
    at_ms: int | None = None,
) -> bool:
    """Returns whether a step holds a ticket valid for a start on a minion.

    Args:
        cell: State of the cell.
        step: The step.
        minion_id: Id of the minion.
        at_ms: Time of the start, on the owner's clock; None means now.
    """
    ticket = step.tickets.get(minion_id)
    start_ms = cell.now_ms if at_ms is None else at_ms
    return (
        ticket is not None
        and ticket.until_ms > start_ms + cell.settings.ticket_margin_ms
        and ticket.incarnation == cell.minions[minion_id].incarnation
    )


def list_unknown_minions(
    cell: state.CellState,
    step: state.StepRecord,
    available: free_capacity.FreeCapacity,
) -> list[str]:
    """Returns the minions that a step has no advice on.

    They include, once the step waits long, minions that were denied before
    their last restart.
    """
    return [
        minion_id
        for minion_id in list_minions(cell, step, available)
        if not is_denied(cell, step, minion_id)
        and not _is_allowed(cell, step, minion_id)
    ]


def is_denied(
    cell: state.CellState, step: state.StepRecord, minion_id: str
) -> bool:
    """Returns whether a step must not use a minion, as far as is known.

    Advice is likely to be the same for a later incarnation of the same kind,
    so that only a step that waits long asks about it again.
    """
    denied_incarnation = step.denied.get(minion_id)
    if denied_incarnation is None:
        return False
    minion = cell.minions[minion_id]
    return denied_incarnation == minion.incarnation or (
        denied_incarnation >= minion.kind_since
        and cell.now_ms < step.waiting_since_ms + RECHECK_WAIT_MS
    )


def get_allowed_fraction(
    cell: state.CellState, step: state.StepRecord
) -> float:
    """Returns the fraction of minions that advice is likely to allow."""
    return cell.allowed_fractions.get(
        step.job.job.queue.name, DEFAULT_ALLOWED_FRACTION
    )


def handle_advice(
    cell: state.CellState, event: events.AdviceCallEnded
) -> Iterator[effects.Effect]:
    """Applies the advice of a call, or the failure of the call.

    The latest advice on a minion replaces any earlier one. What it says of one
    that has restarted since the call may hold for an earlier incarnation only.
    """
    record = cell.jobs.get(event.job_id)
    step = record and record.steps.get((event.repeat, event.position))
    if step is None:
        return
    if not event.from_earlier_owner:
        step.advice_call.pending = False
        step.advice_call.failed = event.tickets is None
    cell.dirty = True
    if event.tickets is None:
        return
    step.considered_ms = -1  # its turn comes before the tickets expire
    is_first = step.allowed is None
    if step.allowed is None:
        step.allowed = {}
    if is_first and event.asked:
        _update_allowed_fraction(
            cell, step, len(event.tickets) / len(event.asked)
        )
    for minion_id, incarnation in _list_advised(cell, step, event):
        text = event.tickets.get(minion_id)
        if text is None:
            step.allowed.pop(minion_id, None)
            step.tickets.pop(minion_id, None)
            step.denied[minion_id] = incarnation
            continue
        step.denied.pop(minion_id, None)
        step.allowed[minion_id] = incarnation
        _update_ticket(
            step,
            minion_id,
            advice_tickets.Ticket(
                text=text,
                until_ms=cell.now_ms + event.valid_ms,
                incarnation=incarnation,
            ),
        )
    yield from ()


def _list_advised(
    cell: state.CellState, step: state.StepRecord, event: events.AdviceCallEnded
) -> Iterator[tuple[str, int]]:
    """Yields the minions that advice holds for, and their incarnations.

    A minion that an earlier owner asked about may not have answered this owner
    yet. What it answers then shows whether the advice is about it.
    """
    for minion_id in event.asked:
        minion = cell.minions.get(minion_id)
        if minion is None:
            continue
        incarnation = minion.incarnation
        if event.from_earlier_owner:
            incarnation = event.earlier_incarnations.get(minion_id, 0)
            is_current = minion.incarnation in (0, incarnation)
        else:
            is_current = not _has_restarted_since(minion, step, event)
        if is_current:
            yield minion_id, incarnation


def _has_restarted_since(
    minion: minion_records.MinionRecord,
    step: state.StepRecord,
    event: events.AdviceCallEnded,
) -> bool:
    """Returns whether a minion has restarted since a call for advice began."""
    started_ms = event.started_ms
    if started_ms < 0:
        started_ms = step.advice_call.asked_ms
    return minion.incarnation_known_ms > started_ms


def _update_ticket(
    step: state.StepRecord, minion_id: str, ticket: advice_tickets.Ticket
) -> None:
    """Stores a ticket unless a stored one is valid for at least as long."""
    known = step.tickets.get(minion_id)
    if (
        known is None
        or known.incarnation != ticket.incarnation
        or known.until_ms < ticket.until_ms
    ):
        step.tickets[minion_id] = ticket


def _update_allowed_fraction(
    cell: state.CellState, step: state.StepRecord, fraction: float
) -> None:
    """Updates the moving average of the fraction allowed for a queue."""
    name = step.job.job.queue.name
    known = cell.allowed_fractions.get(name, DEFAULT_ALLOWED_FRACTION)
    known += SAMPLE_WEIGHT * (fraction - known)
    cell.allowed_fractions[name] = max(MIN_ALLOWED_FRACTION, known)
