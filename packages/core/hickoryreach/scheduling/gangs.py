"""Gangs: all tasks start together, or room is kept until they can."""

from collections.abc import Iterator

from hickoryreach.scheduling import effects
from hickoryreach.scheduling import eligibility
from hickoryreach.scheduling import free_capacity as rooms_module
from hickoryreach.scheduling import ordering
from hickoryreach.scheduling import orders
from hickoryreach.scheduling import preemption
from hickoryreach.scheduling import runs
from hickoryreach.scheduling import state
from hickoryreach.structure import cells

Plan = list[tuple[str, int]]


def place(
    cell: state.CellState,
    step: state.StepRecord,
    rooms: rooms_module.Rooms,
    usable: list[str],
    terms: cells.AdviceTerms | None,
) -> Iterator[effects.Effect]:
    """Starts a gang if all of it fits, else keeps room for it.

    Only a gang that can still be in time keeps room that must empty first;
    room that it fits into now is also kept for the first few late ones, while
    they ask for their tickets.
    """
    if step.runs:
        return
    if not runs.is_within_limit(
        cell, step.job.job.workspace, step.need.times(step.step.count)
    ):
        return
    plan = None
    if terms is not None:
        ticketed = [
            minion_id
            for minion_id in usable
            if eligibility.has_ticket(cell, step, minion_id)
        ]
        plan = _plan_racks(cell, step, rooms, ticketed)
    plan = plan or _plan_racks(cell, step, rooms, usable)
    if plan is None:
        yield from _keep_room(cell, step, rooms, usable, terms)
        return
    keeps = _may_keep(cell, step, rooms)
    if not rooms_module.may_start(cell, step, rooms, step.step.count):
        if keeps:
            _keep_plan(step, rooms, plan)
        return
    names = [minion_id for minion_id, _ in plan]
    if terms is not None and not all(
        eligibility.has_ticket(cell, step, minion_id) for minion_id in names
    ):
        spare = _list_spare(step, rooms, usable, names)
        yield from eligibility.refresh(cell, step, names + spare)
        if keeps:
            _keep_plan(step, rooms, plan)
        return
    yield from _launch(cell, step, rooms, plan)


def _may_keep(
    cell: state.CellState, step: state.StepRecord, rooms: rooms_module.Rooms
) -> bool:
    """Returns whether a gang may keep the room that it fits into."""
    if ordering.is_in_time(cell, step):
        return True
    rooms.late_keeps += 1
    return rooms.late_keeps <= cell.settings.late_keeps


def _list_spare(
    step: state.StepRecord,
    rooms: rooms_module.Rooms,
    usable: list[str],
    names: list[str],
) -> list[str]:
    """Returns minions to ask about besides, as room changes meanwhile."""
    planned = set(names)
    spare = [
        minion_id
        for minion_id in usable
        if minion_id not in planned
        and rooms_module.count_slots(rooms, step, minion_id, 1)
    ]
    return spare[: len(names)]


def _launch(
    cell: state.CellState,
    step: state.StepRecord,
    rooms: rooms_module.Rooms,
    plan: Plan,
) -> Iterator[effects.Effect]:
    number = runs.next_number(cell, step)
    indexes = iter(list(step.waiting))
    for minion_id, count in plan:
        for _ in range(count):
            yield from orders.start(
                cell, step, next(indexes), cell.minions[minion_id], number
            )
            rooms.take(minion_id, step.need)


def _plan_racks(
    cell: state.CellState,
    step: state.StepRecord,
    rooms: rooms_module.Rooms,
    usable: list[str],
) -> Plan | None:
    """Returns where all tasks fit, on one rack where that is faster."""
    if step.step.same_rack:
        racks: dict[str, list[str]] = {}
        for minion_id in usable:
            rack = cell.minions[minion_id].minion.labels[-1:]
            racks.setdefault(rack[0] if rack else "", []).append(minion_id)
        for members in racks.values():
            plan = _plan(step, rooms, members)
            if plan is not None:
                return plan
    return _plan(step, rooms, usable)


def _plan(
    step: state.StepRecord, rooms: rooms_module.Rooms, usable: list[str]
) -> Plan | None:
    """Returns minions and counts that hold all tasks, or None."""
    left = step.step.count
    plan: Plan = []
    ordered = sorted(
        (minion_id for minion_id in usable if minion_id in rooms.free),
        key=lambda minion_id: -rooms.free[minion_id].cpu_millis,
    )
    for minion_id in ordered:
        slots = rooms_module.count_slots(rooms, step, minion_id, left)
        if slots:
            plan.append((minion_id, slots))
            left -= slots
        if not left:
            return plan
    return None


def _keep_plan(
    step: state.StepRecord, rooms: rooms_module.Rooms, plan: Plan
) -> None:
    for minion_id, count in plan:
        rooms.keep(minion_id, step.need.times(count))


def _keep_room(
    cell: state.CellState,
    step: state.StepRecord,
    rooms: rooms_module.Rooms,
    usable: list[str],
    terms: cells.AdviceTerms | None,
) -> Iterator[effects.Effect]:
    """Keeps minions from filling up until the gang fits on them."""
    settings = cell.settings
    plan = _plan_emptied(cell, step, rooms, usable)
    if terms is not None and (
        plan is None or _has_room_elsewhere(cell, step, rooms, usable)
    ):
        yield from eligibility.ask_first(cell, step, rooms)
    if plan is None or not ordering.is_in_time(cell, step):
        return
    size_cpu = step.need.cpu_millis * step.step.count
    share = settings.claims_part * rooms.total_cpu
    if (
        rooms.claims >= settings.claims_limit
        or rooms.claimed_cpu + size_cpu > share
    ):
        return
    rooms.claims += 1
    _keep_plan(step, rooms, plan)
    yield from preemption.clear(cell, step, plan)


def _has_room_elsewhere(
    cell: state.CellState,
    step: state.StepRecord,
    rooms: rooms_module.Rooms,
    usable: list[str],
) -> bool:
    """Returns whether minions that it knows nothing of may hold the rest now.

    Without that a gang waits for the few minions that it was allowed, however
    many others are free.
    """
    count = step.step.count
    unknown = eligibility.list_unknown(cell, step, rooms)
    part = eligibility.get_allowed_part(cell, step)
    here = sum(
        rooms_module.count_slots(rooms, step, each, count) for each in usable
    )
    there = sum(
        rooms_module.count_slots(rooms, step, each, count) for each in unknown
    )
    return here + part * there >= count


def _plan_emptied(
    cell: state.CellState,
    step: state.StepRecord,
    rooms: rooms_module.Rooms,
    usable: list[str],
) -> Plan | None:
    """Returns where the gang will fit once others have ended, or None.

    Minions that lack the least processor time go first.
    """
    left = step.step.count
    options = []
    for minion_id in usable:
        room = rooms.free.get(minion_id)
        if room is None:
            continue
        capacity = cell.minions[minion_id].minion.capacity
        slots = rooms_module.count_limit(
            step, minion_id, runs.count_fitting(capacity, step.need, left)
        )
        if slots:
            lack = step.need.cpu_millis * slots - room.cpu_millis
            options.append((lack / slots, minion_id, slots))
    options.sort()
    plan: Plan = []
    for _, minion_id, slots in options:
        count = min(slots, left)
        plan.append((minion_id, count))
        left -= count
        if not left:
            return plan
    return None


def review(cell: state.CellState) -> Iterator[effects.Effect]:
    """Stops gangs of which only a part runs, as after a takeover."""
    for step in list(cell.ready.values()):
        if step.step.gang and step.runs and step.waiting:
            if step.job.unconfirmed_until_ms > cell.now_ms:
                continue
            yield from preemption.stop_gang(cell, step)
