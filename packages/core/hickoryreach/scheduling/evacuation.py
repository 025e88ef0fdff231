"""Moves work off minions that are about to leave.

This answers the load of many minions leaving at short notice: what still runs
on a minion ends with it, and its loss shows only when the lease is over. Work
that can't be finished in time is stopped just before, so that it continues
elsewhere from its checkpoint.
"""

from collections.abc import Iterator

from hickoryreach.scheduling import effects
from hickoryreach.scheduling import lifecycle
from hickoryreach.scheduling import minion_records
from hickoryreach.scheduling import pace
from hickoryreach.scheduling import state

MIN_SPEED = 0.1  # keeps the estimate finite for a minion that stands still


def evacuate(cell: state.CellState) -> Iterator[effects.Effect]:
    """Stops the runs that their minions would end by leaving."""
    lead_ms = cell.settings.stop_grace_ms + cell.settings.evacuation_margin_ms
    for minion in list(cell.minions.values()):
        if minion.leaves_ms < 0 or not minion.reachable:
            continue
        left_ms = minion.leaves_ms - cell.now_ms
        if left_ms > lead_ms:
            continue
        for run in list(minion.runs.values()):
            if _must_move(minion, run, left_ms):
                yield from lifecycle.stop(cell, run, "evacuated")


def _must_move(
    minion: minion_records.MinionRecord, run: state.Run, left_ms: int
) -> bool:
    """Returns whether a run is to be stopped before its minion leaves.

    Runs without checkpoints lose nothing by going on: the minion may stay
    longer than it has promised.
    """
    if run.phase is not state.Phase.RUNNING or run.step is None:
        return False
    step = run.step.step
    if step.lasting:
        return True
    return step.saves and _estimate_remaining_ms(minion, run) > left_ms


def _estimate_remaining_ms(
    minion: minion_records.MinionRecord, run: state.Run
) -> float:
    """Returns how long a run is likely to go on, in ms."""
    fraction = 1 - run.percent / pace.FULL_PERCENT
    estimate_ms = run.step.step.estimate_ms * fraction
    return estimate_ms / max(minion.speed, MIN_SPEED)
