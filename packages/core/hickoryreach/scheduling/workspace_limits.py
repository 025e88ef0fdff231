"""Limits of workspaces, and headroom for steps that wait for them.

This answers the load of a workspace at its limit in a cell with free capacity:
without it the workspace's long tasks take each part of the limit that becomes
free, and its urgent tasks and gangs wait behind them.
"""

from collections.abc import Iterator

from hickoryreach.scheduling import effects
from hickoryreach.scheduling import free_capacity
from hickoryreach.scheduling import ordering
from hickoryreach.scheduling import preemption
from hickoryreach.scheduling import runs
from hickoryreach.scheduling import state


def await_headroom(
    cell: state.CellState,
    step: state.StepRecord,
    available: free_capacity.FreeCapacity,
) -> Iterator[effects.Effect]:
    """Reserves headroom for a step that its workspace's limit keeps waiting.

    Steps that are placed after it can't take that headroom. For steps of the
    first rank, less urgent runs of the workspace are preempted.
    """
    workspace = step.job.job.workspace
    limit = runs.get_limit(cell, workspace)
    count = step.step.count if step.step.gang else len(step.waiting)
    fitting = runs.count_fitting(limit, step.need, count)
    if not fitting or (step.step.gang and fitting < count):
        return
    need = step.need.times(fitting)
    headroom = available.get_headroom(cell, workspace)
    available.reserve_headroom(workspace, need)
    if step.rank == ordering.FIRST_RANK:
        yield from preemption.preempt_in_workspace(cell, step, headroom, need)
