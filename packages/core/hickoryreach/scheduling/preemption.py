"""Stops tasks that save their progress, to make room for more urgent ones."""

from collections.abc import Iterator

from hickoryreach.scheduling import effects
from hickoryreach.scheduling import free_capacity as rooms_module
from hickoryreach.scheduling import lifecycle
from hickoryreach.scheduling import runs
from hickoryreach.scheduling import state
from hickoryreach.structure import resources


def list_victims(minion: state.MinionRecord, rank: int) -> list[state.Run]:
    """Returns the runs on a minion that may be stopped for a rank.

    The least urgent go first, then the youngest.
    """
    found = [
        run
        for run in minion.runs.values()
        if run.phase is state.Phase.RUNNING
        and run.step is not None
        and run.step.step.saves
        and not run.step.step.gang
        and not run.step.step.lasting
        and run.step.rank > rank
    ]
    found.sort(key=lambda run: (-run.step.rank, -run.confirmed_ms))
    return found


def get_coming(minion: state.MinionRecord) -> resources.Resources:
    """Returns the room that stops under way will free."""
    coming = resources.ZERO
    for run in minion.runs.values():
        if run.phase is state.Phase.STOPPING:
            coming = coming + run.need
    return coming


def make_room(
    cell: state.CellState,
    step: state.StepRecord,
    rooms: rooms_module.Rooms,
    usable: list[str],
    count: int,
) -> Iterator[effects.Effect]:
    """Stops what is needed for some tasks of a step."""
    left = count
    for minion_id in usable:
        if left <= 0 or minion_id not in rooms.free:
            continue
        minion = cell.minions[minion_id]
        coming = get_coming(minion)
        if coming.cpu_millis:
            room = rooms.free[minion_id] + coming
            left -= runs.count_fitting(room, step.need, left)
    for minion_id in usable:
        if left <= 0:
            return
        if minion_id not in rooms.free:
            continue
        chosen = _choose(cell, step, rooms, minion_id)
        if chosen:
            left -= 1
        for run in chosen:
            yield from lifecycle.stop(cell, run, "preempted")


def _choose(
    cell: state.CellState,
    step: state.StepRecord,
    rooms: rooms_module.Rooms,
    minion_id: str,
) -> list[state.Run]:
    minion = cell.minions[minion_id]
    room = rooms.free[minion_id] + get_coming(minion)
    chosen = []
    for run in list_victims(minion, step.rank):
        if step.need.fits_in(room):
            break
        chosen.append(run)
        room = room + run.need
    return chosen if step.need.fits_in(room) else []


def clear(
    cell: state.CellState,
    step: state.StepRecord,
    plan: list[tuple[str, int]],
) -> Iterator[effects.Effect]:
    """Stops what stands in the way of a gang that keeps room."""
    for minion_id, count in plan:
        minion = cell.minions[minion_id]
        need = step.need.times(count)
        room = minion.minion.capacity - minion.used + get_coming(minion)
        for run in list_victims(minion, step.rank):
            if need.fits_in(room):
                break
            room = room + run.need
            yield from lifecycle.stop(cell, run, "preempted")


def stop_gang(
    cell: state.CellState, step: state.StepRecord
) -> Iterator[effects.Effect]:
    """Stops every run of a gang."""
    for run in list(step.runs.values()):
        yield from lifecycle.stop(cell, run, "gang_incomplete")
