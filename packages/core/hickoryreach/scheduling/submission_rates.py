"""Submission rates of workspaces; a share is a rate of jobs per second."""

from hickoryreach.scheduling import state
from hickoryreach.scheduling import token_buckets

BURST_S = 2.0


def consume(cell: state.CellState, workspace: str) -> bool:
    """Counts a submission; returns whether it is within the share."""
    configuration = cell.configuration
    known = configuration and configuration.workspaces.get(workspace)
    if not known:
        return True
    burst = max(1.0, known.share * BURST_S)
    bucket = cell.submission_buckets.get(workspace)
    if bucket is None:
        bucket = token_buckets.TokenBucket(jobs=burst, at_ms=cell.now_ms)
        cell.submission_buckets[workspace] = bucket
    elapsed_s = (cell.now_ms - bucket.at_ms) / 1000
    bucket.jobs = min(burst, bucket.jobs + elapsed_s * known.share)
    bucket.at_ms = cell.now_ms
    if bucket.jobs < 1:
        return False
    bucket.jobs -= 1
    return True
