"""Checks a job before it is accepted."""

import dataclasses

from returns import result

from hickoryreach.decisions import estimates
from hickoryreach.decisions import gangs
from hickoryreach.decisions import limits
from hickoryreach.decisions import shedding
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
    """Returns success when `job` may be queued in this shard.

    A job that is known already is admitted, since repeating it changes
    nothing.
    """
    if job.job_id in shard.jobs:
        return result.Success(None)
    refusal = _find_refusal(shard, job)
    if refusal is not None:
        return result.Failure(refusal)
    return result.Success(None)


def _find_refusal(shard: state.ShardState, job: jobs.Job) -> Refusal | None:
    workspace = shard.workspaces.get(job.workspace)
    if workspace is None or not workspace.allowed:
        return Refusal(
            reason="unknown_workspace",
            detail=f"Workspace {job.workspace} has no plan in force.",
        )
    width = job.tasks if job.kind is jobs.Kind.GANG else 1
    if not limits.can_ever_hold(workspace, job.need.times(width)):
        return Refusal(
            reason="limit",
            detail="The job needs more than its workspace's upper limit.",
        )
    if shard.workers and not estimates.fits_a_worker(
        shard, job.need, job.service
    ):
        return Refusal(
            reason="impossible",
            detail="No worker is large enough for one task of this job.",
        )
    if width > 1 and gangs.count_room(shard, job.need, job.service) < width:
        return Refusal(
            reason="impossible",
            detail="The workers cannot hold all tasks of this job at once.",
        )
    overload = shedding.find_overload(shard, workspace, job)
    if overload:
        return Refusal(reason="overload", detail=overload)
    return None
