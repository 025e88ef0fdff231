"""Lanes for workers that gained room, where many lanes are blocked.

Telling every blocked lane of every worker that gained room costs more than
the placement itself once there are hundreds of sizes. The lanes that go first
are tried in order, a bounded number of them, then those of the size nearest
to the room.
"""

from collections.abc import Iterator
import itertools

from hickoryreach.decisions import ordering
from hickoryreach.decisions import quarantine
from hickoryreach.decisions import records
from hickoryreach.decisions import state

LANES_IN_ORDER = 48
LANES_BY_SIZE = 32
WORKERS_PER_STEP = 8


def offer_next(shard: state.ShardState) -> None:
    """Offers one worker that gained room to the lane that goes first."""
    for _ in range(min(len(shard.grown), WORKERS_PER_STEP)):
        key = next(iter(shard.grown))
        worker = shard.grown[key]
        lane = None
        if worker.open:
            lane = _find_lane(shard, key[0], worker)
        if lane is not None:
            ordering.offer(shard, lane, worker.worker.worker_id)
            return
        del shard.grown[key]


def _find_lane(
    shard: state.ShardState, pool: str, worker: records.WorkerRecord
) -> records.Lane | None:
    passed = []
    found = None
    for _ in range(LANES_IN_ORDER):
        lane = ordering.pop_blocked(shard, pool)
        if lane is None:
            break
        passed.append(lane)
        if _is_fit(lane, worker):
            found = lane
            break
    for lane in passed:
        ordering.push_blocked(shard, lane)
    if found is None:
        found = next(_list_by_size(shard, pool, worker), None)
    return found


def _list_by_size(
    shard: state.ShardState, pool: str, worker: records.WorkerRecord
) -> Iterator[records.Lane]:
    lanes = shard.blocked[pool]
    room = worker.available.cpu_millis
    largest = lanes.irange_key(None, room, reverse=True)
    smallest = lanes.irange_key(None, room)
    for lane in itertools.chain(
        itertools.islice(largest, LANES_BY_SIZE),
        itertools.islice(smallest, LANES_BY_SIZE),
    ):
        if _is_fit(lane, worker):
            yield lane


def _is_fit(lane: records.Lane, worker: records.WorkerRecord) -> bool:
    return (
        not lane.candidates
        and bool(lane.queues or lane.gang)
        and lane.need.fits_in(worker.available)
        and quarantine.is_trusted(worker, lane)
    )


def compact(shard: state.ShardState) -> None:
    """Drops outdated entries of the heaps of blocked lanes."""
    for pool, lanes in shard.blocked.items():
        heap = shard.blocked_order.get(pool, [])
        if len(heap) <= 2 * len(lanes) + LANES_IN_ORDER:
            continue
        heap.clear()
        for lane in lanes:
            lane.pushed_blocked = None
            ordering.push_blocked(shard, lane)
