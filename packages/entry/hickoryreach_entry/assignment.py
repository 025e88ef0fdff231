"""Which entry owns which shard.

The assignment is a pure function of the members, so no value of it is kept:
each entry works it out from the members it knows. Two entries that differ
for a moment do no harm, since journal and grants admit one owner.
"""

from collections.abc import Iterable

import xxhash

from hickoryreach_entry import membership


def choose_owner(
    shard: int, members: Iterable[membership.Member]
) -> membership.Member | None:
    """Returns the owner of a shard, or None without members.

    Source: highest random weight hashing, Thaler and Ravishankar, 1998.
    """
    candidates = [member for member in members if not member.draining]
    return max(
        candidates,
        key=lambda member: (weigh(shard, member.name), member.name),
        default=None,
    )


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
