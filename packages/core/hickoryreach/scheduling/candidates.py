"""Choice of the waiting steps that a placement pass considers.

This answers the load of many steps that can't start, as when a workspace's
limit falls far below what it submits: they stay at the front of the order, and
steps behind them that could start must still get their turn.
"""

from collections.abc import Iterator
import heapq

from hickoryreach.scheduling import eligibility
from hickoryreach.scheduling import free_capacity
from hickoryreach.scheduling import ordering
from hickoryreach.scheduling import state
from hickoryreach.scheduling import wait_causes
from hickoryreach.structure import resources

OVERDUE_MS = 1_000
IDLE_FRACTION = 0.3


def choose(
    cell: state.CellState, available: free_capacity.FreeCapacity
) -> Iterator[state.StepRecord]:
    """Yields the steps to consider in a pass, the most urgent one first.

    The number of steps is limited. Those that their workspace's limit blocks
    have a limit of their own, and those that wait for the store or for runs of
    an earlier owner are left out, so that they don't keep others from being
    considered. At the end come some of the steps that no pass has considered
    for OVERDUE_MS, if their service has capacity to spare: more urgent steps
    may still want the rest.
    """
    settings = cell.settings
    waiting = sorted(
        (step for step in cell.ready.values() if step.waiting),
        key=lambda step: ordering.get_sort_key(cell, step),
    )
    left = settings.steps_per_pass
    blocked_left = settings.blocked_steps_per_pass
    remaining = iter(waiting)
    for step in remaining:
        cause = _find_block(cell, step, available)
        if cause is None:
            left -= 1
        else:
            step.wait_cause = cause
            if cause is wait_causes.WaitCause.NOT_STORED:
                continue
            step.considered_ms = cell.now_ms
            if cause is not wait_causes.WaitCause.LIMIT or not blocked_left:
                continue
            if not _may_gain_headroom(cell, step, available):
                continue
            blocked_left -= 1
        yield step
        if not left:
            break
    yield from _list_overdue(cell, available, remaining)


def _find_block(
    cell: state.CellState,
    step: state.StepRecord,
    available: free_capacity.FreeCapacity,
) -> wait_causes.WaitCause | None:
    """Returns why a step can't start whatever capacity is free, or None.

    A step whose job is not stored yet counts as able to start while it has
    advice to request.
    """
    if step.job.unconfirmed:
        return wait_causes.WaitCause.UNCONFIRMED
    if not step.job.kept and (
        step.allowed is not None
        or eligibility.get_advice_terms(cell, step) is None
    ):
        return wait_causes.WaitCause.NOT_STORED
    count = step.step.count if step.step.gang else 1
    if not free_capacity.has_headroom(cell, step, available, count):
        return wait_causes.WaitCause.LIMIT
    return None


def _may_gain_headroom(
    cell: state.CellState,
    step: state.StepRecord,
    available: free_capacity.FreeCapacity,
) -> bool:
    """Returns whether a step that its limit blocks may reserve or preempt.

    Where others have reserved all headroom, only the first rank preempts.
    """
    if step.rank == ordering.FIRST_RANK:
        return True
    headroom = available.get_headroom(cell, step.job.job.workspace)
    return resources.ZERO.fits_in(headroom)


def _list_overdue(
    cell: state.CellState,
    available: free_capacity.FreeCapacity,
    remaining: Iterator[state.StepRecord],
) -> list[state.StepRecord]:
    """Returns steps that were not considered lately, the longest ago first.

    Lasting steps are served however little capacity is left, as nothing that
    runs makes way for them by ending. Steps that can't start for now are left
    out, so that the turn of the others comes soon.
    """
    horizon_ms = cell.now_ms - OVERDUE_MS
    idle_services: set[str] | None = None
    largest_rooms: dict[tuple[str, str, bool], resources.Resources] = {}
    overdue = []
    for step in remaining:
        if step.considered_ms >= horizon_ms:
            continue
        if idle_services is None:
            idle_services = set(_list_idle_services(cell, available))
        service = free_capacity.get_service(cell, step)
        if not step.step.lasting and service not in idle_services:
            continue
        kind = (service, step.step.label, step.rank == ordering.FIRST_RANK)
        if kind not in largest_rooms:
            largest_rooms[kind] = _get_largest_room(cell, step, available)
        if not step.need.fits_in(largest_rooms[kind]):
            continue
        if _find_block(cell, step, available) is None:
            overdue.append(step)
    return heapq.nsmallest(
        cell.settings.overdue_steps_per_pass,
        overdue,
        key=lambda step: step.considered_ms,
    )


def _list_idle_services(
    cell: state.CellState, available: free_capacity.FreeCapacity
) -> Iterator[str]:
    """Yields the services of whose capacity IDLE_FRACTION or more is free."""
    for service, minion_ids in available.open_minion_ids.items():
        members = [cell.minions[minion_id] for minion_id in minion_ids]
        total_cpu = sum(each.minion.capacity.cpu_millis for each in members)
        used_cpu = sum(each.used.cpu_millis for each in members)
        if used_cpu <= (1 - IDLE_FRACTION) * total_cpu:
            yield service


def _get_largest_room(
    cell: state.CellState,
    step: state.StepRecord,
    available: free_capacity.FreeCapacity,
) -> resources.Resources:
    """Returns the most of each resource that a minion has for a step.

    Steps of the first rank may also have what others occupy. The amounts of
    two resources may be those of different minions.
    """
    largest = resources.ZERO
    for minion_id in eligibility.list_minions(cell, step, available):
        room = available.free.get(minion_id, resources.ZERO)
        if step.rank == ordering.FIRST_RANK:
            room = cell.minions[minion_id].minion.capacity
        largest = largest.elementwise_max(room)
    return largest
