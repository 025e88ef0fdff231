"""Early refusal of work that would wait too long."""

from hickoryreach.decisions import estimates
from hickoryreach.decisions import records
from hickoryreach.decisions import state
from hickoryreach.structure import jobs

CROWDED_PART = 0.5


def find_overload(
    shard: state.ShardState, workspace: records.WorkspaceRecord, job: jobs.Job
) -> str:
    """Returns why a job has to be refused now, or an empty text.

    While a queue is less than half full anybody may fill it; above that, a
    workspace may wait with no more than its share of the queue.
    """
    if job.kind is jobs.Kind.REQUEST:
        return _find_request_overload(shard, workspace, job)
    waiting = workspace.waiting + job.tasks
    if waiting > workspace.entitlement.queued_limit:
        return "The workspace has too many tasks waiting."
    return _find_crowding(
        shard, workspace, shard.waiting, waiting, shard.settings.queue_limit
    )


def _find_request_overload(
    shard: state.ShardState, workspace: records.WorkspaceRecord, job: jobs.Job
) -> str:
    waiting = workspace.requests + 1
    if waiting > workspace.entitlement.queued_limit:
        return "The workspace has too many requests waiting."
    wait_ms = predict_wait_ms(shard, job)
    if job.timeout_ms and wait_ms > job.timeout_ms:
        return f"The request would wait about {wait_ms} ms."
    return _find_crowding(
        shard,
        workspace,
        shard.requests,
        waiting,
        shard.settings.request_queue_limit,
    )


def _find_crowding(
    shard: state.ShardState,
    workspace: records.WorkspaceRecord,
    total: int,
    waiting: int,
    limit: int,
) -> str:
    if total < limit * CROWDED_PART:
        return ""
    share = workspace.entitlement.share / max(shard.weight, 1e-9)
    if waiting > max(1, limit * share):
        return "The queue is full beyond the workspace's share."
    return ""


def predict_wait_ms(shard: state.ShardState, job: jobs.Job) -> int:
    """Returns how long a request would wait behind those that wait now."""
    pool = shard.pools.get(job.service)
    if pool is None or not pool.slots:
        return 0
    run_ms = estimates.get_run_ms(estimates.get_profile(shard, job), job)
    return shard.requests * run_ms // pool.slots
