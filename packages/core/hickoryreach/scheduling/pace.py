"""How fast minions work, and tasks that stand still."""

from collections.abc import Iterable
from collections.abc import Iterator
import statistics

from hickoryreach.platform import minions
from hickoryreach.scheduling import effects
from hickoryreach.scheduling import lifecycle
from hickoryreach.scheduling import state

OBSERVED_MS = 400
NEW_WEIGHT = 0.5
PERCENT = 100


def measure(
    cell: state.CellState,
    minion: state.MinionRecord,
    rows: Iterable[minions.RunningTask],
) -> None:
    """Compares the progress of a minion's tasks with their estimates."""
    worked_ms = 0.0
    passed_ms = 0
    for row in rows:
        run = minion.runs.get((row.key, row.run))
        if run is None or run.listed_ms < 0 or run.step is None:
            continue
        if run.step.step.lasting or run.step.step.filler:
            continue
        estimate_ms = run.step.step.estimate_ms
        if not estimate_ms or run.phase is not state.Phase.RUNNING:
            continue
        worked_ms += max(0, row.percent - run.percent) * estimate_ms / PERCENT
        passed_ms += cell.now_ms - run.listed_ms
    if passed_ms < OBSERVED_MS:
        return
    speed = worked_ms / passed_ms
    minion.speed += NEW_WEIGHT * (speed - minion.speed)
    if is_slow(cell, minion):
        blamed_ms = cell.now_ms + cell.settings.slow_ms
        minion.blamed_until_ms = max(minion.blamed_until_ms, blamed_ms)


def is_slow(cell: state.CellState, minion: state.MinionRecord) -> bool:
    """Returns whether a minion works much more slowly than the others."""
    return minion.speed < cell.settings.slow_part * cell.usual_speed


def measure_usual(cell: state.CellState) -> None:
    """Takes the median speed of the minions as the usual one."""
    speeds = [each.speed for each in cell.minions.values() if each.is_open]
    cell.usual_speed = statistics.median(speeds or [1.0])


def move_stalled(cell: state.CellState) -> Iterator[effects.Effect]:
    """Stops tasks that stand still, so that they go on elsewhere."""
    settings = cell.settings
    for minion in list(cell.minions.values()):
        if not minion.reachable:
            continue
        for run in list(minion.runs.values()):
            step = run.step
            if run.phase is not state.Phase.RUNNING or step is None:
                continue
            if step.step.lasting or step.step.filler:
                continue
            if run.listed_ms <= run.confirmed_ms:
                continue
            allowed_ms = max(
                settings.stall_ms,
                int(settings.stall_part * step.step.estimate_ms),
            )
            if run.listed_ms - run.progress_ms < allowed_ms:
                continue
            step.shunned.add(run.minion_id)
            blamed_ms = cell.now_ms + settings.slow_ms
            minion.blamed_until_ms = max(minion.blamed_until_ms, blamed_ms)
            yield effects.LogDecision(
                event_name="run_stalled",
                subject=minions.format_task(run.key),
                detail=f"run={run.number} minion={run.minion_id} "
                f"percent={run.percent}",
            )
            yield from lifecycle.stop(cell, run, "stalled")
