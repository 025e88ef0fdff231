"""Spread of services over failure domains and racks."""

from collections.abc import Iterable
import heapq

from hickoryreach.decisions import records
from hickoryreach.decisions import state

DOMAINS_PER_SEARCH = 6
RACKS_PER_DOMAIN = 6


def choose(
    shard: state.ShardState, lane: records.Lane, record: records.JobRecord
) -> records.WorkerRecord | None:
    """Returns a worker where the service has the fewest tasks nearby.

    Failure domains come first, then racks. After a bounded number of racks
    without room, any worker with room will do.
    """
    spread = record.spread
    domains = sorted(shard.racks, key=lambda domain: spread[domain, ""])
    for domain in domains[:DOMAINS_PER_SEARCH]:
        racks = heapq.nsmallest(
            RACKS_PER_DOMAIN,
            shard.racks[domain],
            key=lambda rack, domain=domain: spread[domain, rack],
        )
        for rack in racks:
            members = shard.racks[domain][rack]
            worker = _find_in_rack(lane, members.values())
            if worker is not None:
                return worker
    found = [
        worker
        for worker in shard.free.search(lane.need, _get_available)
        if not lane.pool or worker.worker.service == lane.pool
    ]
    return min(found, key=lambda worker: rank(record, worker), default=None)


def rank(
    record: records.JobRecord, worker: records.WorkerRecord
) -> tuple[int, int]:
    """Returns how many of the job's tasks run near a worker."""
    domain = worker.worker.failure_domain
    return record.spread[domain, ""], record.spread[domain, worker.worker.rack]


def _find_in_rack(
    lane: records.Lane, members: Iterable[records.WorkerRecord]
) -> records.WorkerRecord | None:
    fitting = (
        worker
        for worker in members
        if worker.open
        and lane.need.fits_in(worker.available)
        and (not lane.pool or worker.worker.service == lane.pool)
    )
    return min(
        fitting, key=lambda worker: worker.available.cpu_millis, default=None
    )


def _get_available(worker: records.WorkerRecord):
    return worker.available
