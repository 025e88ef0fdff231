"""What urgent tasks of each workspace have occupied lately.

This answers the load of a workspace whose short urgent tasks come all the time
while its long tasks fill its limit: each urgent task would preempt a long one,
which starts again as soon as the urgent one has ended.
"""

from hickoryreach.scheduling import ordering
from hickoryreach.scheduling import state
from hickoryreach.structure import resources

WINDOW_MS = 2_000


def add(cell: state.CellState, run: state.Run) -> None:
    """Counts a run that has been started or adopted."""
    if not _is_urgent(run):
        return
    usage = cell.urgent_usage.setdefault(run.workspace, state.UrgentUsage())
    usage.used = usage.used + run.need
    usage.peak = usage.peak.elementwise_max(usage.used)


def free(cell: state.CellState, run: state.Run) -> None:
    """Counts a run whose capacity was released."""
    if _is_urgent(run):
        usage = cell.urgent_usage[run.workspace]
        usage.used = usage.used - run.need


def advance_windows(cell: state.CellState) -> None:
    """Begins the next window of time where one is over."""
    for usage in cell.urgent_usage.values():
        if cell.now_ms - usage.window_ms >= WINDOW_MS:
            usage.window_ms = cell.now_ms
            usage.earlier_peak = usage.peak
            usage.peak = usage.used


def get_reserve(cell: state.CellState, workspace: str) -> resources.Resources:
    """Returns what a workspace keeps free for further urgent runs."""
    usage = cell.urgent_usage.get(workspace)
    if usage is None:
        return resources.ZERO
    peak = usage.peak.elementwise_max(usage.earlier_peak)
    return peak - usage.used


def _is_urgent(run: state.Run) -> bool:
    return run.step is not None and run.step.rank == ordering.FIRST_RANK
