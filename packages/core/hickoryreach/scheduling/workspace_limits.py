"""Limits of workspaces, and headroom for steps that wait for them.

This answers the load of a workspace at its limit in a cell with free capacity:
without it the workspace's long tasks take each part of the limit that becomes
free, and its urgent tasks and gangs wait behind them.
"""

from collections.abc import Iterator

from hickoryreach.scheduling import effects
from hickoryreach.scheduling import eligibility
from hickoryreach.scheduling import free_capacity
from hickoryreach.scheduling import ordering
from hickoryreach.scheduling import preemption
from hickoryreach.scheduling import runs
from hickoryreach.scheduling import state
from hickoryreach.structure import resources

ADVICE_HOLD_MS = 2_000


def await_headroom(
    cell: state.CellState,
    step: state.StepRecord,
    available: free_capacity.FreeCapacity,
) -> Iterator[effects.Effect]:
    """Reserves headroom for a step that its workspace's limit keeps waiting.

    Steps that are placed after it can't take that headroom. For steps of the
    first rank, less urgent runs of the workspace are preempted, but not to make
    up for runs that are out of sight.
    """
    workspace = step.job.job.workspace
    unseen = available.get_unseen_usage(cell, workspace)
    headroom = available.get_headroom(cell, workspace) + unseen
    need = _reserve_headroom(cell, step, available)
    if need is not None and step.rank == ordering.FIRST_RANK:
        yield from preemption.preempt_in_workspace(cell, step, headroom, need)


def hold_headroom(
    cell: state.CellState,
    step: state.StepRecord,
    available: free_capacity.FreeCapacity,
) -> None:
    """Reserves headroom for a step that only waits for advice.

    Nothing is reserved after a failed call, as the next ones may fail too. Nor
    is it for a call that has waited for ADVICE_HOLD_MS, which may wait behind
    those of other workspaces for much longer.
    """
    held_until_ms = step.advice_call.asked_ms + ADVICE_HOLD_MS
    if step.advice_call.failed or (
        step.advice_call.pending and cell.now_ms >= held_until_ms
    ):
        return
    need = _reserve_headroom(cell, step, available)
    if need is not None:
        workspace = step.job.job.workspace
        known = available.advice_headroom.get(workspace, resources.ZERO)
        available.advice_headroom[workspace] = known + need


def _reserve_headroom(
    cell: state.CellState,
    step: state.StepRecord,
    available: free_capacity.FreeCapacity,
) -> resources.Resources | None:
    """Reserves headroom for a step, as much as it could occupy.

    Returns:
        The reserved headroom, or None if the step could not start with any.
    """
    workspace = step.job.job.workspace
    limit = _get_reachable_limit(cell, available, workspace)
    count = step.step.count if step.step.gang else len(step.waiting)
    fitting = runs.count_fitting(limit, step.limit_need, count)
    least = count if step.step.gang else 1
    if fitting < least or not _fits_on_minions(cell, step, available, least):
        return None
    need = step.limit_need.times(fitting)
    available.reserve_headroom(workspace, need)
    return need


def _get_reachable_limit(
    cell: state.CellState,
    available: free_capacity.FreeCapacity,
    workspace: str,
) -> resources.Resources:
    """Returns a workspace's limit without what its lasting tasks occupy."""
    lasting = available.lasting_usage.get(workspace)
    if lasting is None:
        lasting = resources.ZERO
        for run in cell.workspace_runs.get(workspace, {}).values():
            if run.step is not None and run.step.step.lasting:
                lasting = lasting + run.limit_need
        available.lasting_usage[workspace] = lasting
    return runs.get_limit(cell, workspace) - lasting


def _fits_on_minions(
    cell: state.CellState,
    step: state.StepRecord,
    available: free_capacity.FreeCapacity,
    count: int,
) -> bool:
    """Returns whether tasks of a step would fit on minions without any run."""
    remaining = count
    for minion_id in eligibility.list_minions(cell, step, available):
        if eligibility.is_denied(cell, step, minion_id):
            continue
        capacity = cell.minions[minion_id].minion.capacity
        remaining -= free_capacity.apply_minion_limit(
            step, minion_id, runs.count_fitting(capacity, step.need, remaining)
        )
        if remaining <= 0:
            return True
    return False
