"""Spread of services over failure domains and racks."""

import itertools

from hickoryreach.decisions import state

RACKS_PER_SEARCH = 24


def choose(
    shard: state.ShardState, lane: state.Lane, record: state.JobRecord
) -> state.WorkerRecord | None:
    """Returns a worker where the service has the fewest tasks nearby.

    Failure domains come first, then racks. After a bounded number of racks
    without room, any worker with room will do.
    """
    racks = sorted(
        shard.racks, key=lambda rack: _count(record, rack[0], rack[1])
    )
    for rack in itertools.islice(racks, RACKS_PER_SEARCH):
        worker = _find_in_rack(shard, lane, rack)
        if worker is not None:
            return worker
    found = [
        worker
        for worker in shard.free.search(lane.need, _get_available)
        if not lane.pool or worker.worker.service == lane.pool
    ]
    return min(found, key=lambda worker: rank(record, worker), default=None)


def rank(
    record: state.JobRecord, worker: state.WorkerRecord
) -> tuple[int, int]:
    """Returns how many of the job's tasks run near a worker."""
    return _count(record, worker.worker.failure_domain, worker.worker.rack)


def _count(
    record: state.JobRecord, failure_domain: str, rack: str
) -> tuple[int, int]:
    return (
        record.spread[failure_domain],
        record.spread[f"{failure_domain}/{rack}"],
    )


def _find_in_rack(
    shard: state.ShardState, lane: state.Lane, rack: tuple[str, str]
) -> state.WorkerRecord | None:
    fitting = (
        worker
        for worker in shard.racks[rack].values()
        if worker.open
        and lane.need.fits_in(worker.available)
        and (not lane.pool or worker.worker.service == lane.pool)
    )
    return min(
        fitting, key=lambda worker: worker.available.cpu_millis, default=None
    )


def _get_available(worker: state.WorkerRecord):
    return worker.available
