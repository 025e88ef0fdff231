"""Runs that a minion of another kind has begun than they were decided for."""

from collections.abc import Iterator

from hickoryreach.scheduling import effects
from hickoryreach.scheduling import eligibility
from hickoryreach.scheduling import free_capacity
from hickoryreach.scheduling import lifecycle
from hickoryreach.scheduling import minion_records
from hickoryreach.scheduling import state


def stop_all(
    cell: state.CellState, minion: minion_records.MinionRecord
) -> Iterator[effects.Effect]:
    """Stops the runs that the present incarnation of a minion must not run.

    A start names its minion by id, so that a minion that restarts carries it
    out until its restart is known. A run that it may execute goes on.
    """
    if cell.configuration is None or not minion.is_registration_current:
        return
    for run in list(minion.runs.values()):
        if run.step is None or run.incarnation == minion.incarnation:
            continue
        if not _may_run(cell, minion, run):
            yield from lifecycle.stop(cell, run, "other_kind")


def _may_run(
    cell: state.CellState, minion: minion_records.MinionRecord, run: state.Run
) -> bool:
    """Returns whether a minion has the label and service that a run needs.

    An adopted run may have begun when its queue had another service.
    """
    if not run.incarnation:
        return free_capacity.has_label(minion, run.step)
    return eligibility.is_of_kind(cell, run.step, run.minion_id)
