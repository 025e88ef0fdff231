"""Detection of slow minions and stalled runs."""

from collections.abc import Iterable
from collections.abc import Iterator
import statistics

from hickoryreach.platform import minions
from hickoryreach.scheduling import effects
from hickoryreach.scheduling import lifecycle
from hickoryreach.scheduling import minion_records
from hickoryreach.scheduling import state

MIN_OBSERVED_MS = 400
SAMPLE_WEIGHT = 0.5
FULL_PERCENT = 100


def forget_speed(
    cell: state.CellState, minion: minion_records.MinionRecord
) -> None:
    """Takes a restarted minion, which may be another machine, as average."""
    minion.speed = cell.median_speed


def update_speed(
    cell: state.CellState,
    minion: minion_records.MinionRecord,
    tasks: Iterable[minions.RunningTask],
) -> None:
    """Updates a minion's speed from its tasks' progress and estimates.

    A minion that is found slow is quarantined.
    """
    progressed_ms = 0.0
    elapsed_ms = 0
    for task in tasks:
        run = minion.runs.get((task.key, task.run))
        if run is None or run.listed_ms < 0 or run.step is None:
            continue
        if run.step.step.lasting or run.step.step.filler:
            continue
        estimate_ms = run.step.step.estimate_ms
        if not estimate_ms or run.phase is not state.Phase.RUNNING:
            continue
        progressed_ms += (
            max(0, task.percent - run.percent) * estimate_ms / FULL_PERCENT
        )
        elapsed_ms += cell.now_ms - run.listed_ms
    if elapsed_ms < MIN_OBSERVED_MS:
        return
    speed = progressed_ms / elapsed_ms
    minion.speed += SAMPLE_WEIGHT * (speed - minion.speed)
    if is_slow(cell, minion):
        until_ms = cell.now_ms + cell.settings.slow_quarantine_ms
        minion.quarantined_until_ms = max(minion.quarantined_until_ms, until_ms)


def is_slow(cell: state.CellState, minion: minion_records.MinionRecord) -> bool:
    """Returns whether a minion is much slower than the median."""
    return minion.speed < cell.settings.slow_fraction * cell.median_speed


def update_median_speed(cell: state.CellState) -> None:
    """Updates the median speed of the open minions."""
    speeds = [each.speed for each in cell.minions.values() if each.is_open]
    cell.median_speed = statistics.median(speeds or [1.0])


def stop_stalled_runs(cell: state.CellState) -> Iterator[effects.Effect]:
    """Stops stalled runs, so that their tasks can continue elsewhere."""
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
                int(settings.stall_fraction * step.step.estimate_ms),
            )
            if run.listed_ms - run.progress_ms < allowed_ms:
                continue
            step.avoided_minions.add(run.minion_id)
            until_ms = cell.now_ms + settings.slow_quarantine_ms
            minion.quarantined_until_ms = max(
                minion.quarantined_until_ms, until_ms
            )
            yield effects.LogDecision(
                event_name="run_stalled",
                subject=minions.format_task(run.key),
                detail=f"run={run.number} minion={run.minion_id} "
                f"percent={run.percent}",
            )
            yield from lifecycle.stop(cell, run, "stalled")
