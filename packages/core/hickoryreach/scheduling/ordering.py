"""Order in which waiting steps are considered for placement."""

from hickoryreach.scheduling import state

IN_TIME = 0
LATE = 1
WORTHLESS = 2
WORTHLESS_FACTOR = 3
COMPLETION_MARGIN_MS = 100
ESTIMATE_MARGIN_FRACTION = 0.25


def get_sort_key(
    cell: state.CellState, step: state.StepRecord
) -> tuple[bool, int, int, float]:
    """Returns the sort key of a waiting step; lower keys are placed first.

    Jobs beyond their workspace's share come last. Jobs that can still finish in
    time come before late ones, and those before jobs too late to be of use.
    Then the lower rank comes first, then the least slack.
    """
    latest_start_ms = get_latest_start_ms(step)
    return (
        step.job.exceeds_share,
        _get_group(cell, step.job, latest_start_ms),
        step.rank,
        latest_start_ms,
    )


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
) -> int:
    """Returns whether a job is in time, late or too late to be of use."""
    if cell.now_ms <= latest_start_ms:
        return IN_TIME
    allowed_ms = job.due_ms - job.accepted_ms
    worthless_ms = latest_start_ms + (WORTHLESS_FACTOR - 1) * allowed_ms
    return LATE if cell.now_ms <= worthless_ms else WORTHLESS
