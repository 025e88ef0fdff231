"""Job ids that tell any entry which workspace a job belongs to.

An entry that has never heard of a job can still refuse it to a caller of
another workspace, before anything is sent to the job's owner.
"""

import hashlib

from hickoryreach_entry import assignment

TAG_LENGTH = 16


def make(workspace: str, request_id: str, shards: int) -> str:
    """Returns the id of the job that a request id stands for."""
    base = assignment.make_job_id(workspace, request_id, shards)
    return f"{base}.{make_tag(workspace)}"


def make_tag(workspace: str) -> str:
    """Returns the part of a job id that names its workspace."""
    return hashlib.sha256(workspace.encode()).hexdigest()[:TAG_LENGTH]


def may_be_of(job_id: str, workspace: str, shards: int) -> bool:
    """Returns whether a job id can belong to a workspace of this cell."""
    shard, _, rest = job_id.partition(".")
    if not (shard.isascii() and shard.isdecimal() and int(shard) < shards):
        return False
    return rest.endswith(f".{make_tag(workspace)}")
