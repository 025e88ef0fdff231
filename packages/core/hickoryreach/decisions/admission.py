"""Checks a job before it is accepted."""

import dataclasses

from returns import result

from hickoryreach.decisions import state
from hickoryreach.structure import jobs


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Refusal:
    """Why a job is not accepted; nothing of it has run.

    Attributes:
        reason: Short machine-readable cause.
        detail: One sentence that tells the caller what to change.
    """

    reason: str
    detail: str


def admit(
    shard: state.ShardState, job: jobs.Job
) -> result.Result[None, Refusal]:
    """Returns success when `job` may be queued in this shard."""
    if job.workspace not in shard.workspaces:
        return result.Failure(
            Refusal(
                reason="unknown_workspace",
                detail=f"Workspace {job.workspace} has no plan in force.",
            )
        )
    if shard.workers and not _fits_any(shard, job):
        return result.Failure(
            Refusal(
                reason="impossible",
                detail="No worker is large enough for one task of this job.",
            )
        )
    return result.Success(None)


def _fits_any(shard: state.ShardState, job: jobs.Job) -> bool:
    return any(
        job.need.fits_in(record.worker.capacity)
        and (not job.service or record.worker.service == job.service)
        for record in shard.workers.values()
    )
