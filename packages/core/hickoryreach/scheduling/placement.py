"""Placement of waiting tasks on minions, the most urgent step first."""

from collections.abc import Generator
from collections.abc import Iterator

from hickoryreach.scheduling import advice_requests
from hickoryreach.scheduling import candidates
from hickoryreach.scheduling import capacity_search
from hickoryreach.scheduling import effects
from hickoryreach.scheduling import eligibility
from hickoryreach.scheduling import free_capacity
from hickoryreach.scheduling import gangs
from hickoryreach.scheduling import ordering
from hickoryreach.scheduling import orders
from hickoryreach.scheduling import runs
from hickoryreach.scheduling import solitude
from hickoryreach.scheduling import state
from hickoryreach.scheduling import suspects
from hickoryreach.scheduling import wait_causes
from hickoryreach.scheduling import workspace_limits
from hickoryreach.structure import cells


def advance(cell: state.CellState) -> Iterator[effects.Effect]:
    """Starts waiting tasks if the state has changed since the last pass."""
    if not cell.dirty or cell.configuration is None:
        return
    cell.dirty = False
    available = free_capacity.measure(cell)
    for step in candidates.choose(cell, available):
        step.considered_ms = cell.now_ms
        yield from _place_step(cell, step, available)


def _place_step(
    cell: state.CellState,
    step: state.StepRecord,
    available: free_capacity.FreeCapacity,
) -> Iterator[effects.Effect]:
    """Places a step, or requests advice for it first."""
    terms = eligibility.get_advice_terms(cell, step)
    if terms is not None and step.allowed is None:
        step.wait_cause = wait_causes.WaitCause.ADVICE
        if suspects.has_suspects(step) and free_capacity.may_start(
            cell, step, available
        ):
            solitude.note_wait(cell, step)
        if _may_use_advice(cell, step, available):
            yield from advice_requests.ask_about_unknown(cell, step, available)
            # Else many more steps of a workspace at its limit would request
            # advice than it may start.
            workspace_limits.hold_headroom(cell, step, available)
        return
    if not step.job.kept:
        step.wait_cause = wait_causes.WaitCause.NOT_STORED
        return
    usable = eligibility.list_usable_minions(cell, step, available)
    if step.step.gang:
        yield from gangs.place(cell, step, available, usable, terms)
        return
    yield from _place_tasks(cell, step, available, usable, terms)


def _may_use_advice(
    cell: state.CellState,
    step: state.StepRecord,
    available: free_capacity.FreeCapacity,
) -> bool:
    """Returns whether tickets for a step could be used soon.

    Capacity may be preempted or reserved for steps of the first rank and for
    gangs. Other steps request advice only once a task fits on some minion. A
    late step that its workspace's limit blocks may stay blocked for long.
    """
    if not ordering.is_in_time(cell, step) and not free_capacity.has_headroom(
        cell, step, available
    ):
        return False
    if step.rank == ordering.FIRST_RANK:
        return True
    if step.step.gang:
        return free_capacity.claim_request(cell, step, available)
    if step.need.cpu_millis > available.largest_free_cpu:
        return False
    fits = any(
        free_capacity.count_slots(available, step, minion_id, 1)
        for minion_id in eligibility.list_minions(cell, step, available)
    )
    return fits and free_capacity.claim_request(cell, step, available)


def _place_tasks(
    cell: state.CellState,
    step: state.StepRecord,
    available: free_capacity.FreeCapacity,
    usable: list[str],
    terms: cells.AdviceTerms | None,
) -> Iterator[effects.Effect]:
    """Starts as many tasks of a step as fit, and makes room for the others."""
    expired: list[str] = []
    if step.crashes:
        yield from suspects.place(cell, step, available, usable, terms)
    if free_capacity.may_start(cell, step, available):
        expired = yield from _start_tasks(cell, step, available, usable, terms)
    if not suspects.get_ordinary(step):
        return
    if not free_capacity.has_headroom(cell, step, available):
        step.wait_cause = wait_causes.WaitCause.LIMIT
        yield from workspace_limits.await_headroom(cell, step, available)
    elif free_capacity.may_start(cell, step, available):
        yield from capacity_search.find(
            cell,
            step,
            available,
            usable,
            expired=expired,
            count=len(suspects.get_ordinary(step)),
        )
    else:
        step.wait_cause = wait_causes.WaitCause.URGENT_CAPACITY


def _start_tasks(
    cell: state.CellState,
    step: state.StepRecord,
    available: free_capacity.FreeCapacity,
    usable: list[str],
    terms: cells.AdviceTerms | None,
) -> Generator[effects.Effect, None, list[str]]:
    """Starts as many tasks of a step as fit.

    Returns:
        The minions with free capacity for which the step lacks a ticket.
    """
    expired: list[str] = []
    if step.need.cpu_millis > available.largest_free_cpu:
        return expired
    for minion_id in _sort_best_fit(available, step, usable):
        waiting = suspects.get_ordinary(step)
        slots = free_capacity.count_slots(
            available, step, minion_id, len(waiting)
        )
        if not slots:
            continue
        if terms is not None and not eligibility.has_ticket(
            cell, step, minion_id
        ):
            expired.append(minion_id)
            continue
        for index in list(waiting)[:slots]:
            if not free_capacity.may_start(cell, step, available):
                return expired
            number = runs.get_next_run_number(cell, step)
            yield from orders.start(
                cell, step, index, cell.minions[minion_id], number
            )
            available.allocate(minion_id, step.need)
        if not suspects.get_ordinary(step):
            break
    return expired


def _sort_best_fit(
    available: free_capacity.FreeCapacity,
    step: state.StepRecord,
    usable: list[str],
) -> list[str]:
    """Returns the usable minions, the least free processor capacity first.

    Minions on which a run of the step failed or stalled come last.
    """
    return sorted(
        (minion_id for minion_id in usable if minion_id in available.free),
        key=lambda minion_id: (
            minion_id in step.avoided_minions,
            available.free[minion_id].cpu_millis,
        ),
    )
