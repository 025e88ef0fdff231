"""Use of workspaces' limits that can't be counted, taken at its worst.

A run of unknown size may be of any workspace. After a takeover, minions that
don't answer may run tasks of earlier owners. No start may rely on the part of a
limit that these runs may occupy.
"""

from collections.abc import Iterator

from hickoryreach.scheduling import predecessors
from hickoryreach.scheduling import state
from hickoryreach.structure import resources
from hickoryreach.structure import steps

SUMS_VALID_MS = 500


def sum_unknown_sizes(cell: state.CellState) -> resources.Resources:
    """Returns the most that the runs of unknown size may occupy."""
    total = resources.ZERO
    for minion in cell.minions.values():
        if minion.orphan_count:
            left = minion.minion.capacity - minion.used
            total = total + left.elementwise_max(resources.ZERO)
    return total


def confirm(cell: state.CellState, minion_id: str) -> None:
    """Records that a minion has listed what it runs."""
    earlier = cell.earlier_runs
    if earlier is not None and earlier.until_ms.pop(minion_id, 0):
        cell.dirty = True


def get_earlier_usage(
    cell: state.CellState, workspace: str
) -> resources.Resources:
    """Returns the most that earlier runs may occupy unseen of a limit.

    They occupy no more than the tasks that may be among them, nor than the
    minions that have not answered offer, as far as all of these are known. The
    processor time of fillers is not limited by what a minion offers.
    """
    earlier = cell.earlier_runs
    if earlier is None:
        return resources.ZERO
    silent_count = sum(
        until_ms > cell.now_ms for until_ms in earlier.until_ms.values()
    )
    is_complete = earlier.elsewhere_until_ms <= cell.now_ms
    if is_complete and not silent_count:
        return resources.ZERO
    if not 0 <= cell.now_ms - earlier.summed_ms < SUMS_VALID_MS:
        _sum_tasks(cell, earlier)
    usage = earlier.task_sums.get(workspace, resources.ZERO)
    if is_complete:
        capacity = _get_largest_capacity(cell).times(silent_count)
        usage = usage.elementwise_min(capacity)
    return usage + earlier.filler_sums.get(workspace, resources.ZERO)


def _get_largest_capacity(cell: state.CellState) -> resources.Resources:
    """Returns the largest registered capacity of each resource.

    That of a silent minion may be unknown, or have shrunk below its use.
    """
    largest = resources.ZERO
    for minion in cell.minions.values():
        largest = largest.elementwise_max(minion.minion.capacity)
    return largest


def _sum_tasks(
    cell: state.CellState, earlier: predecessors.EarlierRuns
) -> None:
    """Adds up the tasks that earlier owners may have running, by workspace."""
    earlier.summed_ms = cell.now_ms
    earlier.task_sums.clear()
    earlier.filler_sums.clear()
    for workspace, size, count in _list_tasks(cell):
        known = earlier.task_sums.get(workspace, resources.ZERO)
        earlier.task_sums[workspace] = known + size.minion_need.times(count)
        if size.filler:
            beyond = size.need - size.minion_need
            known = earlier.filler_sums.get(workspace, resources.ZERO)
            earlier.filler_sums[workspace] = known + beyond.times(count)


def _list_tasks(
    cell: state.CellState,
) -> Iterator[tuple[str, steps.Step | steps.StepSize, int]]:
    """Yields workspaces, steps and the number of tasks that may run unseen.

    The tasks of jobs that did not complete may still be running.
    """
    for record in cell.jobs.values():
        if not record.recovered or record.state is state.JobState.COMPLETED:
            continue
        workspace = record.job.workspace
        if record.state.is_final:
            repeats = max(1, record.job.repeats)
            for step in record.job.steps:
                yield workspace, step, step.count * repeats
            continue
        for each in record.steps.values():
            count = each.step.count - len(each.done) - len(each.runs)
            yield workspace, each.step, count
    for ended in cell.ended_jobs.values():
        for size in ended.step_sizes:
            yield ended.workspace, size, size.count
