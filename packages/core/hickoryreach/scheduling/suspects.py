"""Placement of tasks under which several minions have crashed.

Two suspects on one minion would both count its next crash, and several of one
job would crash as many minions, so that they are kept apart. A task that must
run alone gets a minion on which nothing else runs; in a busy cell one is left
to empty for it. Most suspects have only been near a crash, so that each of
these waits is bounded (`solitude`), and so is what they close (`reservations`).
"""

from collections.abc import Collection
from collections.abc import Iterator

from hickoryreach.scheduling import advice_requests
from hickoryreach.scheduling import capacity_search
from hickoryreach.scheduling import effects
from hickoryreach.scheduling import eligibility
from hickoryreach.scheduling import free_capacity
from hickoryreach.scheduling import orders
from hickoryreach.scheduling import reservations
from hickoryreach.scheduling import runs
from hickoryreach.scheduling import solitude
from hickoryreach.scheduling import state
from hickoryreach.scheduling import wait_causes
from hickoryreach.scheduling import workspace_limits
from hickoryreach.structure import cells

SUSPECT_FRACTION = 0.5  # of the minions, for further suspects of one job


def get_ordinary(step: state.StepRecord) -> Collection[int]:
    """Returns the waiting tasks that may run beside any other."""
    if not step.crashes:
        return step.waiting
    return [index for index in step.waiting if not _is_suspect(step, index)]


def has_suspects(step: state.StepRecord) -> bool:
    """Returns whether a waiting task of a step is a suspect."""
    return any(
        task.is_suspect and index in step.waiting
        for index, task in step.crashes.items()
    )


def _is_suspect(step: state.StepRecord, index: int) -> bool:
    task = step.crashes.get(index)
    return task is not None and task.is_suspect


def place(
    cell: state.CellState,
    step: state.StepRecord,
    available: free_capacity.FreeCapacity,
    usable: list[str],
    terms: cells.AdviceTerms | None,
) -> Iterator[effects.Effect]:
    """Starts at most one suspect of a step that is no gang."""
    if not has_suspects(step):
        return
    if awaits_sibling(cell, step, available):
        step.wait_cause = wait_causes.WaitCause.SUSPECT_RUNS
        return
    if not free_capacity.has_headroom(cell, step, available):
        step.wait_cause = wait_causes.WaitCause.LIMIT
        reservations.drop(cell, step)
        if not get_ordinary(step):
            yield from workspace_limits.await_headroom(cell, step, available)
        return
    solitary = solitude.list_solitary_tasks(step)
    if solitary and (
        not solitude.may_join_others(cell, step)
        or _choose(
            cell, step, _list_clear(cell, step, available, usable), terms
        )
    ):
        yield from _place_alone(
            cell, step, available, usable, terms, solitary[0]
        )
        return
    reservations.drop(cell, step)
    index = next(each for each in step.waiting if _is_suspect(step, each))
    yield from _place_apart(cell, step, available, usable, terms, index)


def awaits_sibling(
    cell: state.CellState,
    step: state.StepRecord,
    available: free_capacity.FreeCapacity,
) -> bool:
    """Returns whether suspects of a step wait for another one of their job.

    Once one has gone on for a while, the others wait no longer, as their job
    isn't likely to crash as many minions as it has tasks. Tasks that end leave
    some minions to the suspects of other jobs.
    """
    siblings = [
        run
        for other in step.job.steps.values()
        if other.crashes
        for run in other.runs.values()
        if solitude.is_suspect(run)
    ]
    if not siblings:
        return False
    if not any(solitude.is_settled(cell, run) for run in siblings):
        return True
    return not step.step.lasting and _is_crowded(cell, step, available)


def _is_crowded(
    cell: state.CellState,
    step: state.StepRecord,
    available: free_capacity.FreeCapacity,
) -> bool:
    """Returns whether suspects run on many minions of a step's service."""
    service = free_capacity.get_service(cell, step)
    if service not in available.crowded:
        minion_ids = available.open_minion_ids.get(service, ())
        count = sum(has_suspect(cell, each) for each in minion_ids)
        available.crowded[service] = count >= SUSPECT_FRACTION * len(minion_ids)
    return available.crowded[service]


def _is_dangerous(cell: state.CellState, run: state.Run) -> bool:
    """Returns whether a run is of a suspect that may still crash its minion."""
    if not solitude.is_suspect(run):
        return False
    return not (run.step.step.lasting and solitude.is_settled(cell, run))


def list_apart(
    cell: state.CellState, step: state.StepRecord, minion_ids: list[str]
) -> list[str]:
    """Returns the minions on which a step's suspects may start.

    No suspect runs there, unless the step has waited too long for that.
    """
    if solitude.may_join_suspects(cell, step):
        return list(minion_ids)
    return [
        minion_id
        for minion_id in minion_ids
        if not has_suspect(cell, minion_id)
    ]


def has_suspect(cell: state.CellState, minion_id: str) -> bool:
    """Returns whether a suspect runs on a minion."""
    return any(
        _is_dangerous(cell, run)
        for run in cell.minions[minion_id].runs.values()
    )


def _place_apart(
    cell: state.CellState,
    step: state.StepRecord,
    available: free_capacity.FreeCapacity,
    usable: list[str],
    terms: cells.AdviceTerms | None,
    index: int,
) -> Iterator[effects.Effect]:
    """Starts a suspect on the minion with the fewest runs, none a suspect's."""
    if not free_capacity.may_start(cell, step, available):
        step.wait_cause = wait_causes.WaitCause.URGENT_CAPACITY
        return
    apart = list_apart(cell, step, usable)
    fitting = _list_fitting(available, step, apart)
    chosen = _choose(cell, step, fitting, terms)
    if chosen:
        yield from _end_wait(cell, step, index, chosen)
        yield from _start(cell, step, available, index, chosen)
        available.allocate(chosen, step.need)
        return
    if not fitting and _list_fitting(available, step, usable):
        solitude.note_wait(cell, step)
    yield from capacity_search.find(
        cell, step, available, apart, expired=fitting, count=1
    )
    if step.wait_cause is wait_causes.WaitCause.CAPACITY:
        step.wait_cause = wait_causes.WaitCause.SUSPECT_CAPACITY


def _end_wait(
    cell: state.CellState, step: state.StepRecord, index: int, minion_id: str
) -> Iterator[effects.Effect]:
    """Ends the wait of a step for a minion, or logs that it did not end."""
    if step.crashes[index].needs_solitude or has_suspect(cell, minion_id):
        yield from solitude.log_given_up(cell, step, [minion_id])
    else:
        solitude.end_wait(step)


def _list_fitting(
    available: free_capacity.FreeCapacity,
    step: state.StepRecord,
    minion_ids: list[str],
) -> list[str]:
    """Returns the minions on which a task fits now."""
    return [
        minion_id
        for minion_id in minion_ids
        if free_capacity.count_slots(available, step, minion_id, 1)
    ]


def _choose(
    cell: state.CellState,
    step: state.StepRecord,
    fitting: list[str],
    terms: cells.AdviceTerms | None,
) -> str:
    """Returns the minion for a suspect, or "" without a valid ticket.

    Minions on which no run of the step failed and with few runs come first.
    """
    permitted = [
        minion_id
        for minion_id in fitting
        if terms is None or eligibility.has_ticket(cell, step, minion_id)
    ]
    return min(
        permitted,
        key=lambda minion_id: (
            minion_id in step.avoided_minions,
            len(cell.minions[minion_id].runs),
        ),
        default="",
    )


def _start(
    cell: state.CellState,
    step: state.StepRecord,
    available: free_capacity.FreeCapacity,
    index: int,
    minion_id: str,
) -> Iterator[effects.Effect]:
    available.crowded.clear()
    number = runs.get_next_run_number(cell, step)
    yield from orders.start(cell, step, index, cell.minions[minion_id], number)


def _place_alone(
    cell: state.CellState,
    step: state.StepRecord,
    available: free_capacity.FreeCapacity,
    usable: list[str],
    terms: cells.AdviceTerms | None,
    index: int,
) -> Iterator[effects.Effect]:
    """Starts a task on a minion of its own, or has one emptied for it."""
    reserved = reservations.open_minions(cell, step, available)
    fitting = _list_fitting(available, step, [*usable, *reserved])
    clear = _list_clear(cell, step, available, fitting)
    chosen = _choose(cell, step, clear, terms)
    if chosen:
        solitude.end_wait(step)
        yield from _start(cell, step, available, index, chosen)
        number = step.runs[index].number
        solitude.isolate(cell, step, index, number, chosen)
        reservations.drop(cell, step)
        reservations.close(available, [chosen])
    else:
        step.wait_cause = get_cause_alone(cell, step, available)
        if clear and step.advice_call.failed:
            reservations.drop(cell, step)
        else:
            yield from reservations.reserve(
                cell, step, available, clear or usable, 1
            )
        if clear:
            step.wait_cause = wait_causes.WaitCause.TICKETS
            yield from advice_requests.refresh_tickets(cell, step, clear)
        else:
            if fitting:
                solitude.note_wait(cell, step)
            yield from advice_requests.ask_about_unknown(cell, step, available)
    reservations.close(available, reserved)


def _list_clear(
    cell: state.CellState,
    step: state.StepRecord,
    available: free_capacity.FreeCapacity,
    minion_ids: list[str],
) -> list[str]:
    """Returns the minions that may be closed for a task that runs alone."""
    if not reservations.may_close(cell, step, available, 1):
        return []
    return list_clear(cell, _list_fitting(available, step, minion_ids))


def get_cause_alone(
    cell: state.CellState,
    step: state.StepRecord,
    available: free_capacity.FreeCapacity,
) -> wait_causes.WaitCause:
    """Returns why tasks that must run alone find no minions."""
    if reservations.may_close(cell, step, available, 1):
        return wait_causes.WaitCause.EMPTY_MINION
    return wait_causes.WaitCause.RESERVATION


def list_clear(cell: state.CellState, minion_ids: list[str]) -> list[str]:
    """Returns the minions on which a task would run alone."""
    return [
        minion_id
        for minion_id in minion_ids
        if all(
            solitude.is_harmless(cell, run)
            for run in cell.minions[minion_id].runs.values()
        )
    ]


def plan_gang(
    cell: state.CellState,
    step: state.StepRecord,
    available: free_capacity.FreeCapacity,
    usable: list[str],
    solitary_count: int,
) -> list[tuple[str, int]] | None:
    """Returns a plan for a gang with suspects, or None if not all fit.

    The first `solitary_count` members of the plan are on minions without tasks
    of other jobs; other members of the gang may join them.
    """
    allowed = list_apart(cell, step, usable)
    first = free_capacity.plan_slots(
        available, step, list_clear(cell, allowed), solitary_count
    )
    if first is None:
        return None
    if step.step.minion_limit:
        used = {minion_id for minion_id, _ in first}
        allowed = [each for each in allowed if each not in used]
    rooms = {minion_id: available.free[minion_id] for minion_id, _ in first}
    for minion_id, count in first:
        available.free[minion_id] = rooms[minion_id] - step.need.times(count)
    rest = free_capacity.plan_slots(
        available, step, allowed, step.step.count - solitary_count
    )
    available.free.update(rooms)
    return None if rest is None else [*first, *rest]
