"""Minions that are kept for tasks that must run alone."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Set

from hickoryreach.platform import minions
from hickoryreach.scheduling import crash_records
from hickoryreach.scheduling import effects
from hickoryreach.scheduling import minion_records
from hickoryreach.scheduling import runs
from hickoryreach.scheduling import state
from hickoryreach.structure import steps

SETTLED_MS = 3_000
RESERVATION_LIMIT_MS = 30_000
SOLITARY_SERVICE_MS = 5_000
SOLITUDE_LIMIT_MS = 6_000
APART_LIMIT_MS = 10_000
CALM_LIMIT_MS = 2_000  # in place of these two while most of a service is idle
SERVICE_LIMIT_MS = 1_000  # for services, whose absence counts after seconds
NONE: frozenset[str] = frozenset()


def adopt(cell: state.CellState, minion: minion_records.MinionRecord) -> None:
    """Keeps a run alone that an earlier owner had started alone."""
    (run,) = minion.runs.values()
    task = run.step and run.step.crashes.get(run.key.index)
    if task is not None and task.needs_solitude:
        isolate(cell, run.step, run.key.index, run.number, run.minion_id)


def isolate(
    cell: state.CellState,
    step: state.StepRecord,
    index: int,
    number: int,
    minion_id: str,
) -> None:
    """Keeps other tasks off a minion on which a task runs alone."""
    step.crashes[index].solitary_run = number
    cell.crashes.solitary_minion_ids.add(minion_id)


def list_closed(cell: state.CellState) -> Set[str]:
    """Returns the minions that are kept for tasks that must run alone."""
    crashes = cell.crashes
    if not crashes.solitary_minion_ids and not crashes.reservations:
        return NONE
    for minion_id in list(crashes.solitary_minion_ids):
        minion = cell.minions.get(minion_id)
        if minion is None or not _holds_solitary_run(cell, minion):
            crashes.solitary_minion_ids.discard(minion_id)
    for key, reservation in list(crashes.reservations.items()):
        if cell.now_ms > reservation.reserved_ms + RESERVATION_LIMIT_MS:
            _give_up(cell, key)
            del crashes.reservations[key]
        elif not _is_needed(cell, reservation):
            del crashes.reservations[key]
    return crashes.solitary_minion_ids.union(list_reserved(cell))


def list_reserved(cell: state.CellState) -> list[str]:
    """Returns the minions that are left to empty."""
    return [
        minion_id
        for reservation in cell.crashes.reservations.values()
        for minion_id in reservation.minion_ids
    ]


def _holds_solitary_run(
    cell: state.CellState, minion: minion_records.MinionRecord
) -> bool:
    """Returns whether a run is still to be alone on a minion.

    A service, which never ends, is alone only for a limited time.
    """
    solitary = [run for run in minion.runs.values() if is_solitary(run)]
    earliest_ms = cell.now_ms - SOLITARY_SERVICE_MS
    if any(
        not run.step.step.lasting or run.sent_ms >= earliest_ms
        for run in solitary
    ):
        return True
    for run in solitary:
        run.step.crashes[run.key.index].solitary_run = crash_records.NO_RUN
    return False


def _give_up(cell: state.CellState, key: steps.TaskKey) -> None:
    """Ends the wait of a step for the minions that were reserved for it.

    Reserved anew, they could stay idle for as long as one of them is occupied.
    """
    step = runs.find_step(cell, key)
    if step is None:
        return
    note_wait(cell, step)
    limit_ms = cell.now_ms - SOLITUDE_LIMIT_MS
    step.suspect_since_ms = min(step.suspect_since_ms, limit_ms)


def _is_needed(
    cell: state.CellState, reservation: crash_records.Reservation
) -> bool:
    """Returns whether a reservation may still serve its step."""
    step = runs.find_step(cell, reservation.key)
    if step is None or not list_alone(cell, step):
        return False
    open_minions = (cell.minions.get(each) for each in reservation.minion_ids)
    return all(each is not None and each.is_open for each in open_minions)


def may_join_others(cell: state.CellState, step: state.StepRecord) -> bool:
    """Returns whether a step's suspects need not run alone any longer.

    One crash more is better than a wait without a bound.
    """
    return _has_waited(cell, step, SOLITUDE_LIMIT_MS)


def may_join_suspects(cell: state.CellState, step: state.StepRecord) -> bool:
    """Returns whether a step's suspects may run beside others."""
    return _has_waited(cell, step, APART_LIMIT_MS)


def _is_calm(cell: state.CellState, step: state.StepRecord) -> bool:
    """Returns whether most of the service that runs a step is idle."""
    stored = step.job.job.queue
    queue = cell.configuration.queues.get(stored.name, stored)
    return queue.service in cell.crashes.calm_services


def _has_waited(
    cell: state.CellState, step: state.StepRecord, limit_ms: int
) -> bool:
    """Returns whether a step has lacked a minion for a suspect for too long.

    Args:
        cell: State of the cell.
        step: The step.
        limit_ms: How long it may in a busy cell.
    """
    if step.step.lasting:
        limit_ms = SERVICE_LIMIT_MS
    elif _is_calm(cell, step):
        limit_ms = CALM_LIMIT_MS
    return 0 <= step.suspect_since_ms <= cell.now_ms - limit_ms


def log_given_up(
    cell: state.CellState, step: state.StepRecord, minion_ids: Iterable[str]
) -> Iterator[effects.Effect]:
    """Logs that suspects start beside others after all."""
    yield effects.LogDecision(
        event_name="solitude_given_up",
        subject=minions.format_step(
            step.job.job.job_id, step.repeat, step.position
        ),
        detail=(
            f"waited_ms={cell.now_ms - step.suspect_since_ms} "
            f"minions={','.join(minion_ids)}"
        ),
    )


def note_wait(cell: state.CellState, step: state.StepRecord) -> None:
    """Notes that a step lacks a minion that would do for a suspect."""
    if step.suspect_since_ms < 0:
        step.suspect_since_ms = cell.now_ms


def end_wait(step: state.StepRecord, count: int = 1) -> None:
    """Notes that a step has found minions that do for some of its suspects.

    If others still wait, so does the step: each of them waiting anew would keep
    a job with many from running for long.
    """
    waiting = sum(
        task.is_suspect and index in step.waiting
        for index, task in step.crashes.items()
    )
    if waiting <= count:
        step.suspect_since_ms = -1


def list_alone(cell: state.CellState, step: state.StepRecord) -> list[int]:
    """Returns the waiting tasks of a step that are to start alone now."""
    if may_join_others(cell, step):
        return []
    return list_solitary_tasks(step)


def list_solitary_tasks(step: state.StepRecord) -> list[int]:
    """Returns the waiting tasks of a step that must run alone."""
    return [
        index
        for index, task in step.crashes.items()
        if task.needs_solitude and index in step.waiting
    ]


def is_solitary(run: state.Run) -> bool:
    """Returns whether a run was started alone on its minion."""
    task = run.step and run.step.crashes.get(run.key.index)
    return task is not None and task.solitary_run == run.number


def is_suspect(run: state.Run) -> bool:
    """Returns whether a run's task has crashed minions."""
    task = run.step and run.step.crashes.get(run.key.index)
    return task is not None and task.is_suspect


def is_settled(cell: state.CellState, run: state.Run) -> bool:
    """Returns whether a run has gone on for too long to crash its minion."""
    return 0 <= run.confirmed_ms < cell.now_ms - SETTLED_MS


def is_harmless(cell: state.CellState, run: state.Run) -> bool:
    """Returns whether a task counts as alone beside a run.

    Services never end. Waiting for a minion without any could last for ever.
    """
    return (
        run.step is not None
        and run.step.step.lasting
        and is_settled(cell, run)
        and not is_suspect(run)
    )
