"""Capacity that runs occupy on minions and in workspace limits."""

import dataclasses

from hickoryreach.scheduling import minion_records
from hickoryreach.scheduling import state
from hickoryreach.structure import resources
from hickoryreach.structure import steps

RUNS_PER_EPOCH = 1_000_000
UNLIMITED = resources.Resources(
    cpu_millis=2**53, memory_mb=2**53, accelerators=2**53
)
NOTHING = resources.Resources(cpu_millis=-1)  # not even a task of no size


def get_next_run_number(cell: state.CellState, step: state.StepRecord) -> int:
    """Returns a run number above every earlier one of the step's tasks.

    Starts of an earlier owner are not recorded, so each epoch numbers its runs
    in a range of its own.
    """
    highest = max(step.highest_numbers.values(), default=0)
    return max(highest, (cell.epoch - 1) * RUNS_PER_EPOCH) + 1


def get_epoch(number: int) -> int:
    """Returns the epoch in which a run was started, by its number."""
    return (number - 1) // RUNS_PER_EPOCH + 1


def add(
    cell: state.CellState,
    minion: minion_records.MinionRecord,
    run: state.Run,
) -> None:
    """Adds a run and allocates its capacity."""
    minion.runs[(run.key, run.number)] = run
    minion.used = minion.used + run.need
    minion.orphan_count += not run.has_known_size
    used = cell.usage.get(run.workspace, resources.ZERO)
    cell.usage[run.workspace] = used + run.limit_need
    cell.workspace_runs.setdefault(run.workspace, {})[id(run)] = run
    if run.step is not None:
        run.step.runs[run.key.index] = run
        run.step.waiting.pop(run.key.index, None)
        highest = run.step.highest_numbers.get(run.key.index, 0)
        run.step.highest_numbers[run.key.index] = max(highest, run.number)


def free(cell: state.CellState, run: state.Run) -> None:
    """Removes a run and releases its capacity."""
    minion = cell.minions.get(run.minion_id)
    if minion is None or minion.runs.pop((run.key, run.number), None) is None:
        return
    minion.used = minion.used - run.need
    minion.orphan_count -= not run.has_known_size
    cell.usage[run.workspace] = cell.usage[run.workspace] - run.limit_need
    del cell.workspace_runs[run.workspace][id(run)]
    cell.unclear.pop(id(run), None)
    if run.step is not None and run.step.runs.get(run.key.index) is run:
        del run.step.runs[run.key.index]
    cell.dirty = True


def get_limit(cell: state.CellState, workspace: str) -> resources.Resources:
    """Returns what a workspace may occupy; nothing if it isn't configured.

    Tasks without a workspace are not limited.
    """
    configuration = cell.configuration
    known = configuration and configuration.workspaces.get(workspace)
    if not known:
        return NOTHING if workspace else UNLIMITED
    return resources.Resources(
        cpu_millis=known.limit.cpu_millis or UNLIMITED.cpu_millis,
        memory_mb=known.limit.memory_mb or UNLIMITED.memory_mb,
        accelerators=known.limit.accelerators or UNLIMITED.accelerators,
    )


def count_fitting(
    room: resources.Resources, need: resources.Resources, max_count: int
) -> int:
    """Returns how many tasks of a size fit into `room`, up to `max_count`."""
    count = max_count
    if need.cpu_millis > 0:
        count = min(count, room.cpu_millis // need.cpu_millis)
    if need.memory_mb > 0:
        count = min(count, room.memory_mb // need.memory_mb)
    if need.accelerators > 0:
        count = min(count, room.accelerators // need.accelerators)
    return max(count, 0)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TaskSize:
    """What a task occupies.

    Attributes:
        workspace: Workspace whose limit it counts towards.
        need: What it occupies of its minion's capacity.
        limit_need: What it occupies of the limit.
    """

    workspace: str
    need: resources.Resources
    limit_need: resources.Resources


def find_size(cell: state.CellState, key: steps.TaskKey) -> TaskSize | None:
    """Returns the size of a task, or None if its job is not known.

    Jobs that have ended count too, as their runs may not have ended yet.
    """
    record = cell.jobs.get(key.job_id)
    ended = cell.ended_jobs.get(key.job_id)
    if record is not None and record.kept:
        workspace, sizes = record.job.workspace, record.job.steps
    elif ended is not None:
        workspace, sizes = ended.workspace, ended.step_sizes
    else:
        return None
    if key.step >= len(sizes):
        return None
    size = sizes[key.step]
    return TaskSize(
        workspace=workspace, need=size.minion_need, limit_need=size.need
    )


def find_step(
    cell: state.CellState, key: steps.TaskKey
) -> state.StepRecord | None:
    """Returns the step of a task, or None if its job is not known as stored."""
    record = cell.jobs.get(key.job_id)
    if record is None or not record.kept:
        return None
    step = record.steps.get((key.repeat, key.step))
    if step is None or key.index >= step.step.count:
        return None
    return step
