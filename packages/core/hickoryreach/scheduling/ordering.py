"""Order in which waiting steps are considered for placement."""

import enum

from hickoryreach.scheduling import state

FIRST_RANK = 0
WORTHLESS_FACTOR = 3
COMPLETION_MARGIN_MS = 100
ESTIMATE_MARGIN_FRACTION = 0.25


class Group(enum.IntEnum):
    """Groups of waiting steps, in the order in which they are placed.

    Late jobs of the first rank come before jobs in time of other ranks: they
    are short, and would else wait until their workspace's limit or the cell
    has nothing else to start.

    Attributes:
        URGENT: Of the first rank; the job can finish in time.
        URGENT_LATE: Of the first rank; the job is late.
        IN_TIME: The job can finish in time.
        LATE: The job is late.
        WORTHLESS: The job is too late to be of use.
    """

    URGENT = 0
    URGENT_LATE = 1
    IN_TIME = 2
    LATE = 3
    WORTHLESS = 4


def get_sort_key(
    cell: state.CellState, step: state.StepRecord
) -> tuple[bool, int, int, float]:
    """Returns the sort key of a waiting step; lower keys are placed first.

    Jobs beyond their workspace's share come last. Then the groups follow in
    their order, then the lower rank comes first, then the least slack.
    """
    latest_start_ms = get_latest_start_ms(step)
    return (
        step.job.exceeds_share,
        _get_group(cell, step.job, latest_start_ms),
        step.rank,
        latest_start_ms,
    )


def get_call_order(
    cell: state.CellState, step: state.StepRecord
) -> tuple[bool, int, int, float]:
    """Returns the sort key of a step's calls for advice; lower ones go first.

    It is that of the step, but lasting steps are never too late to be of use:
    they count as in time, since when they wait.
    """
    key = get_sort_key(cell, step)
    if not step.step.lasting:
        return key
    group = Group.URGENT if step.rank == FIRST_RANK else Group.IN_TIME
    return key[0], group, step.rank, step.waiting_since_ms


def get_latest_start_ms(step: state.StepRecord) -> float:
    """Returns the latest start of a step for its job to finish in time."""
    needed_ms = (
        step.step.estimate_ms * (1 + ESTIMATE_MARGIN_FRACTION)
        + COMPLETION_MARGIN_MS
    )
    return step.job.due_ms - needed_ms


def is_in_time(cell: state.CellState, step: state.StepRecord) -> bool:
    """Returns whether a step's job can still finish in time."""
    return cell.now_ms <= get_latest_start_ms(step)


def _get_group(
    cell: state.CellState, job: state.JobRecord, latest_start_ms: float
) -> Group:
    """Returns the group of a job."""
    urgent = job.job.queue.rank == FIRST_RANK
    if cell.now_ms <= latest_start_ms:
        return Group.URGENT if urgent else Group.IN_TIME
    allowed_ms = job.due_ms - job.accepted_ms
    worthless_ms = latest_start_ms + (WORTHLESS_FACTOR - 1) * allowed_ms
    if cell.now_ms > worthless_ms:
        return Group.WORTHLESS
    return Group.URGENT_LATE if urgent else Group.LATE
