"""Preemption of runs with checkpoints in favour of more urgent tasks."""

from collections.abc import Iterable
from collections.abc import Iterator

from hickoryreach.scheduling import effects
from hickoryreach.scheduling import free_capacity
from hickoryreach.scheduling import lifecycle
from hickoryreach.scheduling import minion_records
from hickoryreach.scheduling import runs
from hickoryreach.scheduling import state
from hickoryreach.structure import resources


def list_victims(
    minion: minion_records.MinionRecord, rank: int
) -> list[state.Run]:
    """Returns the runs on a minion that may be preempted for a rank.

    The least urgent runs come first, then the most recent ones.
    """
    return _sort_victims(minion.runs.values(), rank)


def _sort_victims(
    candidates: Iterable[state.Run], rank: int
) -> list[state.Run]:
    """Returns the runs that may be preempted for a rank, in that order."""
    victims = [
        run
        for run in candidates
        if run.phase is state.Phase.RUNNING
        and run.step is not None
        and run.step.step.saves
        and not run.step.step.gang
        and not run.step.step.lasting
        and run.step.rank > rank
    ]
    victims.sort(key=lambda run: (-run.step.rank, -run.confirmed_ms))
    return victims


def get_releasing_capacity(
    minion: minion_records.MinionRecord,
) -> resources.Resources:
    """Returns the capacity that pending stops will release on a minion."""
    releasing = resources.ZERO
    for run in _list_releasing(minion.runs.values()):
        releasing = releasing + run.need
    return releasing


def _list_releasing(candidates: Iterable[state.Run]) -> Iterator[state.Run]:
    """Yields the runs that are being stopped."""
    return (run for run in candidates if run.phase is state.Phase.STOPPING)


def preempt_for_tasks(
    cell: state.CellState,
    step: state.StepRecord,
    available: free_capacity.FreeCapacity,
    usable: list[str],
    count: int,
) -> Iterator[effects.Effect]:
    """Stops the runs that `count` tasks of a step must displace.

    Capacity that these runs release is held for the step, or the stopped tasks
    themselves would take it while it does not suffice yet.
    """
    remaining = count
    for minion_id in usable:
        if remaining <= 0 or minion_id not in available.free:
            continue
        minion = cell.minions[minion_id]
        releasing = get_releasing_capacity(minion)
        if releasing.cpu_millis:
            room = available.free[minion_id] + releasing
            fitting = runs.count_fitting(room, step.need, remaining)
            available.hold(minion_id, step.need.times(fitting))
            remaining -= fitting
    for minion_id in usable:
        if remaining <= 0:
            return
        if minion_id not in available.free:
            continue
        chosen = _choose_victims(cell, step, available, minion_id)
        if chosen:
            available.hold(minion_id, step.need)
            remaining -= 1
        for run in chosen:
            yield from lifecycle.stop(cell, run, "preempted")


def _choose_victims(
    cell: state.CellState,
    step: state.StepRecord,
    available: free_capacity.FreeCapacity,
    minion_id: str,
) -> list[state.Run]:
    """Returns the runs to stop on a minion so that one task fits."""
    minion = cell.minions[minion_id]
    room = available.free[minion_id] + get_releasing_capacity(minion)
    chosen = []
    for run in list_victims(minion, step.rank):
        if step.need.fits_in(room):
            break
        chosen.append(run)
        room = room + run.need
    return chosen if step.need.fits_in(room) else []


def preempt_for_gang(
    cell: state.CellState,
    step: state.StepRecord,
    plan: list[tuple[str, int]],
) -> Iterator[effects.Effect]:
    """Stops the runs that a gang with a reservation must displace."""
    for minion_id, count in plan:
        minion = cell.minions[minion_id]
        need = step.need.times(count)
        room = (
            minion.minion.capacity
            - minion.used
            + get_releasing_capacity(minion)
        )
        for run in list_victims(minion, step.rank):
            if need.fits_in(room):
                break
            room = room + run.need
            yield from lifecycle.stop(cell, run, "preempted")


def preempt_in_workspace(
    cell: state.CellState,
    step: state.StepRecord,
    headroom: resources.Resources,
    need: resources.Resources,
) -> Iterator[effects.Effect]:
    """Stops runs of a step's workspace until a need fits in its limit.

    Nothing is stopped if that would not suffice for one task, or for a gang as
    a whole. Runs on minions that the step may use are stopped first, as their
    capacity serves it too.

    Args:
        cell: State of the cell.
        step: The step that waits.
        headroom: What the workspace may still start within its limit.
        need: What the step is to occupy.
    """
    members = cell.workspace_runs.get(step.job.job.workspace, {}).values()
    room = headroom
    for run in _list_releasing(members):
        room = room + run.limit_need
    victims = _sort_victims(members, step.rank)
    allowed = step.allowed or {}
    victims.sort(key=lambda run: (-run.step.rank, run.minion_id not in allowed))
    chosen = []
    for run in victims:
        if need.fits_in(room):
            break
        chosen.append(run)
        room = room + run.limit_need
    least = need if step.step.gang else step.limit_need
    if least.fits_in(room):
        for run in chosen:
            yield from lifecycle.stop(cell, run, "preempted_in_workspace")


def stop_gang(
    cell: state.CellState, step: state.StepRecord
) -> Iterator[effects.Effect]:
    """Stops all runs of an incomplete gang."""
    for run in list(step.runs.values()):
        yield from lifecycle.stop(cell, run, "gang_incomplete")
