"""Places waiting tasks on minions, the most pressing step first."""

from collections.abc import Iterator

from hickoryreach.scheduling import effects
from hickoryreach.scheduling import eligibility
from hickoryreach.scheduling import free_capacity as rooms_module
from hickoryreach.scheduling import gangs
from hickoryreach.scheduling import ordering
from hickoryreach.scheduling import orders
from hickoryreach.scheduling import preemption
from hickoryreach.scheduling import runs
from hickoryreach.scheduling import state
from hickoryreach.structure import cells


def advance(cell: state.CellState) -> Iterator[effects.Effect]:
    """Starts what can start, if something has changed."""
    if not cell.dirty or cell.configuration is None:
        return
    cell.dirty = False
    rooms = rooms_module.measure(cell)
    waiting = sorted(
        (step for step in cell.ready.values() if step.waiting),
        key=lambda step: ordering.get_order(cell, step),
    )
    for step in waiting[: cell.settings.waiting_limit]:
        if step.job.unconfirmed_until_ms > cell.now_ms:
            continue
        yield from _place(cell, step, rooms)


def _place(
    cell: state.CellState, step: state.StepRecord, rooms: rooms_module.Rooms
) -> Iterator[effects.Effect]:
    terms = eligibility.get_terms(cell, step)
    if terms is not None and step.allowed is None:
        if _may_use_advice(cell, step, rooms):
            yield from eligibility.ask_first(cell, step, rooms)
        return
    if not step.job.kept:
        return
    if terms is None:
        usable = eligibility.list_minions(cell, step, rooms)
    else:
        usable = [
            minion_id for minion_id in step.allowed if minion_id in rooms.free
        ]
    if step.step.gang:
        yield from gangs.place(cell, step, rooms, usable, terms)
        return
    yield from _place_tasks(cell, step, rooms, usable, terms)


def _may_use_advice(
    cell: state.CellState, step: state.StepRecord, rooms: rooms_module.Rooms
) -> bool:
    """Returns whether tickets could be used soon.

    The first rank and gangs may have room made for them; the others ask once
    some minion has room.
    """
    if step.rank == rooms_module.FIRST_RANK or step.step.gang:
        return True
    if step.need.cpu_millis > rooms.most_cpu:
        return False
    return any(
        rooms_module.count_slots(rooms, step, minion_id, 1)
        for minion_id in eligibility.list_minions(cell, step, rooms)
    )


def _place_tasks(
    cell: state.CellState,
    step: state.StepRecord,
    rooms: rooms_module.Rooms,
    usable: list[str],
    terms: cells.AdviceTerms | None,
) -> Iterator[effects.Effect]:
    if not rooms_module.may_start(cell, step, rooms):
        return
    expired = []
    if step.need.cpu_millis > rooms.most_cpu:
        usable_now = []
    else:
        usable_now = _sort_tightest(rooms, step, usable)
    for minion_id in usable_now:
        slots = rooms_module.count_slots(
            rooms, step, minion_id, len(step.waiting)
        )
        if not slots:
            continue
        if terms is not None and not eligibility.has_ticket(
            cell, step, minion_id
        ):
            expired.append(minion_id)
            continue
        for index in list(step.waiting)[:slots]:
            if not rooms_module.may_start(cell, step, rooms):
                return
            number = runs.next_number(cell, step)
            yield from orders.start(
                cell, step, index, cell.minions[minion_id], number
            )
            rooms.take(minion_id, step.need)
        if not step.waiting:
            return
    yield from _seek_room(cell, step, rooms, usable, expired, terms)


def _seek_room(
    cell: state.CellState,
    step: state.StepRecord,
    rooms: rooms_module.Rooms,
    usable: list[str],
    expired: list[str],
    terms: cells.AdviceTerms | None,
) -> Iterator[effects.Effect]:
    """Asks for further tickets, or has room made for the first rank."""
    if expired:
        yield from eligibility.refresh(cell, step, expired)
        return
    if terms is not None and _lacks_minions(cell, step, rooms):
        yield from eligibility.ask_first(cell, step, rooms)
    if step.rank == rooms_module.FIRST_RANK:
        yield from preemption.make_room(
            cell, step, rooms, usable, len(step.waiting)
        )


def _sort_tightest(
    rooms: rooms_module.Rooms, step: state.StepRecord, usable: list[str]
) -> list[str]:
    return sorted(
        (minion_id for minion_id in usable if minion_id in rooms.free),
        key=lambda minion_id: (
            minion_id in step.shunned,
            rooms.free[minion_id].cpu_millis,
        ),
    )


def _lacks_minions(
    cell: state.CellState, step: state.StepRecord, rooms: rooms_module.Rooms
) -> bool:
    """Returns whether asking about more minions may find room."""
    known = len(step.allowed or ()) + len(step.denied)
    return known < len(eligibility.list_minions(cell, step, rooms))
