"""Which entry owns which shard.

The assignment is worked out by each entry from the members it knows and from
what they say they own, so no value of it is kept. Two entries that differ for
a moment do no harm, since journal and grants admit one owner.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import math

import xxhash


def choose_owner(
    shard: int, candidates: Iterable[str], loads: Mapping[str, int], shards: int
) -> str | None:
    """Returns who is to take a shard that nobody owns, or None.

    Those who own less than their part go first.

    Source: highest random weight hashing, Thaler and Ravishankar, 1998.
    """
    names = sorted(candidates)
    if not names:
        return None
    part = math.ceil(shards / len(names))
    open_names = [name for name in names if loads.get(name, 0) < part]
    return max(open_names or names, key=lambda name: weigh(shard, name))


def find_surplus(
    mine: Collection[int], candidates: int, shards: int
) -> int | None:
    """Returns a shard to hand over for balance, or None."""
    if not candidates or len(mine) <= math.ceil(shards / candidates):
        return None
    return max(mine)


def weigh(shard: int, name: str) -> int:
    """Returns the weight of a member for a shard."""
    return xxhash.xxh64_intdigest(f"{shard}/{name}".encode())


def shard_of_worker(worker_id: str, shards: int) -> int:
    """Returns the shard a worker belongs to."""
    return xxhash.xxh64_intdigest(worker_id.encode()) % shards


def shard_of_request(workspace: str, request_id: str, shards: int) -> int:
    """Returns the shard that a request id goes to, through any entry."""
    return xxhash.xxh64_intdigest(f"{workspace}/{request_id}".encode()) % shards


def make_job_id(workspace: str, request_id: str, shards: int) -> str:
    """Returns the job id that every entry derives from a request id."""
    shard = shard_of_request(workspace, request_id, shards)
    digest = xxhash.xxh3_128_hexdigest(f"{workspace}/{request_id}".encode())
    return f"{shard}.{digest}"


def shard_of_job(job_id: str) -> int:
    """Returns the shard written in a job id.

    Raises:
        ValueError: The id names no shard.
    """
    return int(job_id.split(".", 1)[0])
