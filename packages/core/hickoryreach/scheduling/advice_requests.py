"""Requests for advice on the minions that may run a step."""

from collections.abc import Iterator
import itertools
import math

from hickoryreach.platform import minions
from hickoryreach.scheduling import effects
from hickoryreach.scheduling import eligibility
from hickoryreach.scheduling import free_capacity
from hickoryreach.scheduling import ordering
from hickoryreach.scheduling import runs
from hickoryreach.scheduling import state
from hickoryreach.structure import cells

MIN_NAMED_MINIONS = 16
NAMED_COST_FRACTION = 0.5
NAMED_FACTOR = 1.25
RETRY_DELAY_MS = 100
RENAME_INTERVAL_MS = 500
CALL_LIMIT_MS = 60_000


def ask_about_unknown(
    cell: state.CellState,
    step: state.StepRecord,
    available: free_capacity.FreeCapacity,
) -> Iterator[effects.Effect]:
    """Requests advice on minions that a step has no advice on yet, if any.

    Minions with the most free processor capacity are named first. Naming them
    adds at most NAMED_COST_FRACTION to the fixed cost of the call, unless the
    step is likely to need more minions, given the fraction that advice has
    allowed for the queue.
    """
    terms = eligibility.get_advice_terms(cell, step)
    if terms is None or not _may_ask(cell, step):
        return
    if _may_get_earlier_advice(cell, step):
        return
    unknown = eligibility.list_unknown_minions(cell, step, available)
    unknown.sort(
        key=lambda minion_id: -_get_free_cpu(available, minion_id),
    )
    max_count = cell.settings.named_minions_limit
    if terms.minion_ms > 0:
        cheap = _count_cheap(terms)
        needed = _count_needed(cell, step, available, unknown)
        max_count = min(max_count, max(MIN_NAMED_MINIONS, cheap, needed))
    yield from _ask(cell, step, unknown[:max_count])


def _count_cheap(terms: cells.AdviceTerms) -> int:
    """Returns how many minions a call may name at little further cost."""
    return int(NAMED_COST_FRACTION * terms.call_ms / terms.minion_ms)


def _get_cost_ms(terms: cells.AdviceTerms, count: int) -> float:
    """Returns how long a call that names some minions takes, in ms."""
    return terms.call_ms + terms.minion_ms * count


def _count_needed(
    cell: state.CellState,
    step: state.StepRecord,
    available: free_capacity.FreeCapacity,
    unknown: list[str],
) -> int:
    """Returns how many minions to name so that the allowed ones suffice.

    Counts what fits on the minions now; if that is too little on all of them,
    what would fit if they were empty.

    Args:
        cell: State of the cell.
        step: The step.
        available: Free capacity.
        unknown: Minions in the order in which they would be named.
    """
    wanted = (
        len(step.waiting)
        / eligibility.get_allowed_fraction(cell, step)
        * NAMED_FACTOR
    )
    fitting = 0
    for number, minion_id in enumerate(unknown, 1):
        fitting += free_capacity.count_slots(
            available, step, minion_id, len(step.waiting)
        )
        if fitting >= wanted:
            return number
    size = available.minion_capacities.get(
        free_capacity.get_service(cell, step)
    )
    if size is None:
        return 0
    slots = runs.count_fitting(size, step.need, len(step.waiting))
    return math.ceil(wanted / max(1, slots))


def refresh_tickets(
    cell: state.CellState, step: state.StepRecord, minion_ids: list[str]
) -> Iterator[effects.Effect]:
    """Requests tickets for minions that lack one, and for others that may.

    By the time the tickets arrive, the minions may be occupied. Naming the
    others that advice has allowed adds at most NAMED_COST_FRACTION to the fixed
    cost of the call.
    """
    terms = eligibility.get_advice_terms(cell, step)
    max_count = cell.settings.named_minions_limit
    if terms.minion_ms > 0:
        max_count = min(max_count, max(len(minion_ids), _count_cheap(terms)))
    horizon_ms = cell.now_ms + terms.valid_ms // 2
    others = (
        minion_id
        for minion_id in sorted(set(step.allowed).difference(minion_ids))
        if minion_id in cell.minions
        and cell.minions[minion_id].is_open
        and not eligibility.has_ticket(cell, step, minion_id, horizon_ms)
    )
    named = itertools.islice(itertools.chain(minion_ids, others), max_count)
    yield from _ask(cell, step, list(named))


def _get_free_cpu(available: free_capacity.FreeCapacity, minion_id: str) -> int:
    room = available.free.get(minion_id)
    return room.cpu_millis if room else 0


def _may_ask(cell: state.CellState, step: state.StepRecord) -> bool:
    """Returns whether a step may make a call, or change what one names."""
    call = step.advice_call
    if call.pending:
        return cell.now_ms >= min(
            call.named_ms + RENAME_INTERVAL_MS, call.asked_ms + CALL_LIMIT_MS
        )
    return call.asked_ms < 0 or cell.now_ms >= call.asked_ms + RETRY_DELAY_MS


def _may_get_earlier_advice(
    cell: state.CellState, step: state.StepRecord
) -> bool:
    """Returns whether advice for an earlier owner may still be reported."""
    return step.job.recovered and cell.now_ms < cell.earlier_advice_until_ms


def _ask(
    cell: state.CellState, step: state.StepRecord, minion_ids: list[str]
) -> Iterator[effects.Effect]:
    """Requests advice on some minions, by the call that waits if there is one.

    A call that is pending for CALL_LIMIT_MS is lost.
    """
    if not minion_ids or not _may_ask(cell, step):
        return
    call = step.advice_call
    age_ms = cell.now_ms - call.asked_ms
    if call.pending and age_ms < CALL_LIMIT_MS:
        yield from _rename(cell, step, minion_ids)
        return
    if call.pending:
        yield effects.LogDecision(
            event_name="advice_call_lost",
            subject=minions.format_step(
                step.job.job.job_id, step.repeat, step.position
            ),
            detail=f"age_ms={age_ms}",
        )
    terms = eligibility.get_advice_terms(cell, step)
    call.pending = True
    call.asked_ms = call.named_ms = cell.now_ms
    call.named = tuple(minion_ids)
    call.order = ordering.get_call_order(cell, step)
    yield effects.AskAdvice(
        job_id=step.job.job.job_id,
        repeat=step.repeat,
        position=step.position,
        minion_ids=call.named,
        cost_ms=_get_cost_ms(terms, len(minion_ids)),
        valid_ms=terms.valid_ms,
        order=call.order,
    )


def _rename(
    cell: state.CellState, step: state.StepRecord, minion_ids: list[str]
) -> Iterator[effects.Effect]:
    """Changes the minions that a call names if it still waits.

    By the time that it starts, those that it named first may have left.
    """
    call = step.advice_call
    call.named_ms = cell.now_ms
    if set(minion_ids) == set(call.named):
        return
    call.named = tuple(minion_ids)
    terms = eligibility.get_advice_terms(cell, step)
    yield effects.RenameAdvice(
        job_id=step.job.job.job_id,
        repeat=step.repeat,
        position=step.position,
        minion_ids=call.named,
        cost_ms=_get_cost_ms(terms, len(minion_ids)),
    )


def reorder_calls(cell: state.CellState) -> Iterator[effects.Effect]:
    """Moves the waiting calls of steps whose urgency has changed.

    Else a call that was urgent when it was made would go before others for as
    long as it waits.
    """
    for step in cell.ready.values():
        call = step.advice_call
        if not call.pending:
            continue
        order = ordering.get_call_order(cell, step)
        if order == call.order:
            continue
        call.order = order
        yield effects.ReorderAdvice(
            job_id=step.job.job.job_id,
            repeat=step.repeat,
            position=step.position,
            order=order,
        )
