"""What a shard uses and needs of each workspace's upper limit."""

from hickoryreach.decisions import records
from hickoryreach.decisions import state
from hickoryreach.structure import jobs
from hickoryreach.structure import resources
from hickoryreach_entry.owner import budgets


def list_demands(shard: state.ShardState) -> dict[str, budgets.Demand]:
    """Returns the demand of every workspace."""
    return {
        name: budgets.Demand(
            used=record.used + record.claimed + record.doubt,
            needed=find_needed(record),
        )
        for name, record in shard.workspaces.items()
    }


def find_needed(record: records.WorkspaceRecord) -> resources.Resources:
    """Returns the largest need among the work that is next in its queues."""
    needed = resources.ZERO
    for queue in record.queues.values():
        if not queue.jobs:
            continue
        job = queue.jobs[0][1].job
        count = job.tasks if job.kind is jobs.Kind.GANG else 1
        needed = needed.elementwise_max(queue.lane.need.times(count))
    return needed
