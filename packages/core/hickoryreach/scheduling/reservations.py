"""Minions that are left to empty for tasks that must run alone."""

from collections.abc import Iterator

from hickoryreach.scheduling import crash_records
from hickoryreach.scheduling import effects
from hickoryreach.scheduling import eligibility
from hickoryreach.scheduling import free_capacity
from hickoryreach.scheduling import minion_records
from hickoryreach.scheduling import pace
from hickoryreach.scheduling import runs
from hickoryreach.scheduling import solitude
from hickoryreach.scheduling import state

CLOSED_FRACTION = 0.25


def open_minions(
    cell: state.CellState,
    step: state.StepRecord,
    available: free_capacity.FreeCapacity,
) -> list[str]:
    """Opens the minions that are reserved for a step, and returns their ids.

    The reservation ends if one of them is now of a kind that can't run it.
    """
    reservation = cell.crashes.reservations.get(step.get_key(0))
    if reservation is None:
        return []
    if not all(
        eligibility.is_of_kind(cell, step, minion_id)
        for minion_id in reservation.minion_ids
    ):
        drop(cell, step)
        return []
    opened = []
    for minion_id in reservation.minion_ids:
        minion = cell.minions[minion_id]
        if minion.quarantined_until_ms <= cell.now_ms:
            room = minion.minion.capacity - minion.used
            available.open_minion(minion_id, minion.minion.service, room)
            opened.append(minion_id)
    return opened


def close(available: free_capacity.FreeCapacity, minion_ids: list[str]) -> None:
    """Closes minions to other tasks for the rest of a pass."""
    for minion_id in minion_ids:
        available.close_minion(minion_id)


def drop(cell: state.CellState, step: state.StepRecord) -> None:
    """Ends the reservation of a step, if it has one."""
    cell.crashes.reservations.pop(step.get_key(0), None)


def may_close(
    cell: state.CellState,
    step: state.StepRecord,
    available: free_capacity.FreeCapacity,
    count: int,
) -> bool:
    """Returns whether minions may be closed for tasks that must run alone.

    Most of such a minion is idle. At most CLOSED_FRACTION of a service's
    minions are closed at a time, or those for one step.
    """
    own = cell.crashes.reservations.get(step.get_key(0))
    closed = solitude.list_closed(cell).difference(
        own.minion_ids if own else ()
    )
    service = free_capacity.get_service(cell, step)
    total = len(available.open_minion_ids.get(service, ()))
    return not closed or len(closed) + count <= CLOSED_FRACTION * total


def may_close_for(
    cell: state.CellState,
    step: state.StepRecord,
    available: free_capacity.FreeCapacity,
    plan: list[tuple[str, int]],
    solitary_count: int,
) -> bool:
    """Returns whether a gang may close the minions on which members run alone.

    These members are the first ones of the plan; several may share a minion.
    """
    closed_count = 0
    for _, member_count in plan:
        if solitary_count <= 0:
            break
        closed_count += 1
        solitary_count -= member_count
    return not closed_count or may_close(cell, step, available, closed_count)


def reserve(
    cell: state.CellState,
    step: state.StepRecord,
    available: free_capacity.FreeCapacity,
    usable: list[str],
    count: int,
) -> Iterator[effects.Effect]:
    """Reserves the minions that will be empty first for tasks of a step.

    Nothing is reserved if too many minions are closed already.
    """
    if step.get_key(0) in cell.crashes.reservations:
        return
    options = []
    for minion_id in usable:
        slots = _count_slots_when_clear(cell, step, minion_id, count)
        if slots and minion_id in available.free:
            left_ms = _estimate_clear_ms(cell.minions[minion_id])
            options.append((left_ms, minion_id, slots))
    options.sort()
    chosen: list[str] = []
    for _, minion_id, slots in options:
        if count <= 0:
            break
        chosen.append(minion_id)
        count -= slots
    if count > 0 or not may_close(cell, step, available, len(chosen)):
        return
    key = step.get_key(0)
    cell.crashes.reservations[key] = crash_records.Reservation(
        key=key,
        minion_ids=tuple(chosen),
        reserved_ms=cell.now_ms,
    )
    close(available, chosen)
    yield effects.LogDecision(
        event_name="minions_reserved",
        subject=step.job.job.job_id,
        detail=f"crashes minions={','.join(chosen)}",
    )


def _count_slots_when_clear(
    cell: state.CellState, step: state.StepRecord, minion_id: str, count: int
) -> int:
    """Returns how many tasks fit beside the services of a minion.

    None do if one of these services is a suspect, as it doesn't end.
    """
    minion = cell.minions[minion_id]
    room = minion.minion.capacity
    for run in minion.runs.values():
        if run.step is None or not run.step.step.lasting:
            continue
        if solitude.is_suspect(run):
            return 0
        room = room - run.need
    return free_capacity.apply_minion_limit(
        step, minion_id, runs.count_fitting(room, step.need, count)
    )


def _estimate_clear_ms(minion: minion_records.MinionRecord) -> float:
    """Returns how long the other tasks on a minion are likely to go on."""
    return max(
        (
            run.step.step.estimate_ms * (1 - run.percent / pace.FULL_PERCENT)
            for run in minion.runs.values()
            if run.step is not None and not run.step.step.lasting
        ),
        default=0.0,
    )
