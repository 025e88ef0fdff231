"""Choice of a minion for a request."""

from hickoryreach.decisions import quarantine
from hickoryreach.decisions import records
from hickoryreach.decisions import state


def choose(
    shard: state.ShardState, lane: records.Lane, record: records.JobRecord
) -> records.WorkerRecord | None:
    """Returns the worker whose minion has the most free slots.

    Failures since the last success count as taken slots; of equals, the one
    that waited longest for a request is taken.
    """
    pool = shard.pools.get(lane.pool)
    if pool is None:
        return None
    for worker_id in pool.list_freest():
        worker = shard.workers[worker_id]
        if not lane.need.fits_in(worker.available):
            if worker.available.slots < lane.need.slots:
                return None
            continue
        if quarantine.is_trusted(worker, lane):
            return worker
    return None
