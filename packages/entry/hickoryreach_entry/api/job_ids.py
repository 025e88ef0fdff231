"""Job ids that encode which callers may access a job.

An entry without any record of a job can still deny a caller of another
workspace, before anything is sent to the job's owner. An id ends with a tag
of its workspace and, if the job was submitted without a key, a tag of the
open queue that accepted it.
"""

import hashlib

from hickoryreach_entry import assignment

TAG_LENGTH = 16


def make(
    workspace: str, request_id: str, shards: int, open_queue: str = ""
) -> str:
    """Builds the job id for a request id.

    Args:
        workspace: Workspace of the job.
        request_id: Idempotency key of the submission.
        shards: Number of shards of the cell.
        open_queue: Queue of a job submitted without a key, else empty.
    """
    base = assignment.make_job_id(workspace, request_id, shards)
    tags = [make_tag(name) for name in (workspace, open_queue) if name]
    return ".".join((base, *tags))


def make_tag(name: str) -> str:
    """Returns the tag for a name in a job id."""
    return hashlib.sha256(name.encode()).hexdigest()[:TAG_LENGTH]


def may_belong_to(
    job_id: str, workspace: str, shards: int, open_queue: str = ""
) -> bool:
    """Returns whether a caller may access the job with an id.

    Args:
        job_id: The id.
        workspace: Workspace of the caller.
        shards: Number of shards of the cell.
        open_queue: Queue that a caller without a key names, else empty.
    """
    shard, *parts = job_id.split(".")
    if shard not in map(str, range(shards)) or len(parts) not in (2, 3):
        return False
    _, workspace_tag, *queue_tags = parts
    if workspace_tag != make_tag(workspace):
        return False
    return not open_queue or queue_tags == [make_tag(open_queue)]
