"""Which minions may run a step, and when to ask the advice service."""

from collections.abc import Iterator
import math

from hickoryreach.scheduling import effects
from hickoryreach.scheduling import events
from hickoryreach.scheduling import free_capacity as rooms_module
from hickoryreach.scheduling import runs
from hickoryreach.scheduling import state
from hickoryreach.structure import cells

MINIONS_AT_LEAST = 16
NAMED_COST_PART = 0.5
RETRY_MS = 100
ALLOWED_PART = 0.35
LEAST_PART = 0.1
NEW_WEIGHT = 0.1
SPARE = 1.25


def get_terms(
    cell: state.CellState, step: state.StepRecord
) -> cells.AdviceTerms | None:
    """Returns the terms of a step's queue, as they are now."""
    stored = step.job.job.queue
    current = cell.configuration.queues.get(stored.name, stored)
    return current.advice


def get_service(cell: state.CellState, step: state.StepRecord) -> str:
    """Returns the service that runs a step's queue, as it is now."""
    stored = step.job.job.queue
    return cell.configuration.queues.get(stored.name, stored).service


def list_minions(
    cell: state.CellState, step: state.StepRecord, rooms: rooms_module.Rooms
) -> list[str]:
    """Returns the minions that may run a step, whether there is room or not."""
    open_ids = rooms.open_ids.get(get_service(cell, step), [])
    if not step.step.label:
        return open_ids
    return [
        minion_id
        for minion_id in open_ids
        if rooms_module.is_fit(cell.minions[minion_id], step)
    ]


def has_ticket(
    cell: state.CellState, step: state.StepRecord, minion_id: str
) -> bool:
    """Returns whether a start on a minion can carry a valid ticket."""
    ticket = step.tickets.get(minion_id)
    margin_ms = cell.settings.ticket_margin_ms
    return (
        ticket is not None
        and ticket.until_ms > cell.now_ms + margin_ms
        and ticket.incarnation == cell.minions[minion_id].incarnation
    )


def ask_first(
    cell: state.CellState, step: state.StepRecord, rooms: rooms_module.Rooms
) -> Iterator[effects.Effect]:
    """Asks about minions that a step knows nothing of yet.

    Minions with the most room go first; as many are named as cost at most
    NAMED_COST_PART of the call itself, and always as many as the step is
    likely to need, going by the part that the queue's steps were allowed.
    """
    if not _may_ask(cell, step) or _may_be_recalled(cell, step):
        return
    terms = get_terms(cell, step)
    unknown = list_unknown(cell, step, rooms)
    unknown.sort(
        key=lambda minion_id: -_get_free_cpu(rooms, minion_id),
    )
    most = cell.settings.advice_limit
    if terms.minion_ms > 0:
        cheap = int(NAMED_COST_PART * terms.call_ms / terms.minion_ms)
        needed = _count_needed(cell, step, rooms)
        most = min(most, max(MINIONS_AT_LEAST, cheap, needed))
    yield from _ask(cell, step, unknown[:most])


def list_unknown(
    cell: state.CellState, step: state.StepRecord, rooms: rooms_module.Rooms
) -> list[str]:
    """Returns the minions that a step was neither allowed nor denied."""
    return [
        minion_id
        for minion_id in list_minions(cell, step, rooms)
        if minion_id not in step.denied
        and not (step.allowed and minion_id in step.allowed)
    ]


def get_allowed_part(cell: state.CellState, step: state.StepRecord) -> float:
    """Returns which part of the minions a step is likely to be allowed."""
    return cell.allowed_parts.get(step.job.job.queue.name, ALLOWED_PART)


def _count_needed(
    cell: state.CellState, step: state.StepRecord, rooms: rooms_module.Rooms
) -> int:
    """Returns how many minions to name so that the step fits on those left."""
    size = rooms.sizes.get(get_service(cell, step))
    count = len(step.waiting)
    if size is None or not count:
        return 0
    slots = max(1, runs.count_fitting(size, step.need, count))
    part = get_allowed_part(cell, step)
    return math.ceil(count / slots / part * SPARE)


def refresh(
    cell: state.CellState, step: state.StepRecord, minion_ids: list[str]
) -> Iterator[effects.Effect]:
    """Asks again about minions whose tickets have expired."""
    yield from _ask(cell, step, minion_ids[: cell.settings.advice_limit])


def _get_free_cpu(rooms: rooms_module.Rooms, minion_id: str) -> int:
    room = rooms.free.get(minion_id)
    return room.cpu_millis if room else 0


def _may_ask(cell: state.CellState, step: state.StepRecord) -> bool:
    """Returns whether no call for a step is under way or has just ended."""
    if step.asking:
        return False
    return step.asked_ms < 0 or cell.now_ms >= step.asked_ms + RETRY_MS


def _may_be_recalled(cell: state.CellState, step: state.StepRecord) -> bool:
    """Returns whether an earlier owner's advice may still be told."""
    return step.job.restored and cell.now_ms < cell.earlier_advice_until_ms


def _ask(
    cell: state.CellState, step: state.StepRecord, minion_ids: list[str]
) -> Iterator[effects.Effect]:
    if not minion_ids or not _may_ask(cell, step):
        return
    terms = get_terms(cell, step)
    step.asking = True
    step.asked_ms = cell.now_ms
    yield effects.AskAdvice(
        job_id=step.job.job.job_id,
        repeat=step.repeat,
        position=step.position,
        minion_ids=tuple(minion_ids),
        cost_ms=terms.call_ms + terms.minion_ms * len(minion_ids),
        valid_ms=terms.valid_ms,
        rank=step.rank,
    )


def take(
    cell: state.CellState, event: events.AdviceCallEnded
) -> Iterator[effects.Effect]:
    """Takes in advice, or that a call for it failed."""
    record = cell.jobs.get(event.job_id)
    step = record and record.steps.get((event.repeat, event.position))
    if step is None:
        return
    if not event.from_earlier_owner:
        step.asking = False
    cell.dirty = True
    if event.tickets is None:
        return
    first = step.allowed is None
    if step.allowed is None:
        step.allowed = set()
    if first and event.asked:
        _learn_part(cell, step, len(event.tickets) / len(event.asked))
    for minion_id in event.asked:
        minion = cell.minions.get(minion_id)
        text = event.tickets.get(minion_id)
        if text is None:
            step.denied.add(minion_id)
            continue
        step.allowed.add(minion_id)
        if minion is not None:
            _note_ticket(step, minion, text, cell.now_ms + event.valid_ms)
    yield from ()


def _note_ticket(
    step: state.StepRecord, minion: state.MinionRecord, text: str, until_ms: int
) -> None:
    """Notes a ticket unless a later one for the minion's life is known."""
    minion_id = minion.minion.minion_id
    known = step.tickets.get(minion_id)
    if (
        known
        and known.incarnation == minion.incarnation
        and known.until_ms >= until_ms
    ):
        return
    step.tickets[minion_id] = state.Ticket(
        text=text, until_ms=until_ms, incarnation=minion.incarnation
    )


def _learn_part(
    cell: state.CellState, step: state.StepRecord, part: float
) -> None:
    """Learns which part of the minions a queue's steps are allowed."""
    name = step.job.job.queue.name
    known = cell.allowed_parts.get(name, ALLOWED_PART)
    known += NEW_WEIGHT * (part - known)
    cell.allowed_parts[name] = max(LEAST_PART, known)
