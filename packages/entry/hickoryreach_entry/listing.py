"""Lists the jobs of a workspace that one shard knows."""

from collections.abc import Iterator
import heapq

from hickoryreach.wire import messages
from hickoryreach_entry.owner import notices
from hickoryreach_entry.owner import shard as owner_shard


def list_jobs(
    owner: owner_shard.ShardOwner, request: messages.ListRequest
) -> messages.ListReply:
    """Returns one page of a workspace's jobs, ordered by job id."""
    rows = heapq.nsmallest(
        request.limit + 1, select_rows(owner, request), key=get_job_id
    )
    page = rows[: request.limit]
    after = page[-1].job_id if len(rows) > len(page) else ""
    return messages.ListReply(owner=True, jobs=page, after=after)


def get_job_id(notice: messages.Notice) -> str:
    """Returns the order of a listed job."""
    return notice.job_id


def select_rows(
    owner: owner_shard.ShardOwner, request: messages.ListRequest
) -> Iterator[messages.Notice]:
    """Yields the notices that a listing asks for."""
    after = request.after or ""
    for job_id, record in owner.state.jobs.items():
        job = record.job
        if (
            job.workspace == request.workspace
            and job_id > after
            and (not request.wave or job.wave == request.wave)
            and (not request.state or record.state == request.state)
        ):
            yield notices.describe_record(record)
    if request.wave:
        return
    for job_id in owner.journal.image.remembered:
        finished = owner.journal.image.jobs[job_id].finished
        if (
            finished.workspace == request.workspace
            and job_id > after
            and job_id not in owner.state.jobs
            and (not request.state or finished.state == request.state)
        ):
            yield notices.describe_finished(finished)
