"""Resources through which callers submit, follow and cancel work."""

from collections.abc import Callable

import falcon
from returns import result

from hickoryreach.structure import jobs
from hickoryreach_entry import waiters
from hickoryreach_entry.api import access
from hickoryreach_entry.api import answers
from hickoryreach_entry.api import bodies
from hickoryreach_entry.api import job_ids
from hickoryreach_entry.api import listing
from hickoryreach_entry.api import notices
from hickoryreach_entry.api import parameters
from hickoryreach_entry.api import problems
from hickoryreach_entry.api import resources
from hickoryreach_entry.api import submissions

MAX_PAGE_SIZE = 500
DEFAULT_PAGE_SIZE = 100


class Jobs(resources.WorkResource):
    """Submits a job, and lists a workspace's jobs."""

    def __init__(self, *, list_shard: listing.ListShard, **common) -> None:
        """Creates the listing; `common` is passed to the base."""
        super().__init__(**common)
        self.listing = listing.Listing(
            list_shard=list_shard, shards=self.shards
        )

    @answers.responder
    def on_post(self, req: falcon.Request) -> answers.Outcome:
        """Submits the job in the body; waits up to `wait_ms` for its end."""
        return (
            bodies.read(req)
            .bind(lambda body: bodies.parse(submissions.Submission, body))
            .bind(lambda submission: self.submit(req, submission))
        )

    def submit(
        self, req: falcon.Request, submission: submissions.Submission
    ) -> answers.Outcome:
        """Submits a validated submission for the caller."""
        return parameters.get_wait_s(req, submission.kind).bind(
            lambda wait_s: self.access.find_submitter(
                req, submission.queue
            ).bind(
                lambda caller: notices.build_outcome(
                    self.submit_job(submission, caller, wait_s)
                )
            )
        )

    @answers.responder
    def on_get(self, req: falcon.Request) -> answers.Outcome:
        """Lists jobs by id, filtered by `state` and `wave`, in pages."""
        limit = parameters.get_limit(req, DEFAULT_PAGE_SIZE, MAX_PAGE_SIZE)
        return self.access.find_caller(req).bind(
            lambda caller: self.listing.parse_cursor(
                req.get_param("after") or ""
            ).bind(
                lambda cursor: self.listing.list_page(
                    listing.Query(
                        workspace=caller.workspace,
                        state=req.get_param("state") or "",
                        wave=req.get_param("wave") or "",
                        limit=limit,
                    ),
                    cursor,
                )
            )
        )


class Job(resources.WorkResource):
    """Follows or cancels one job."""

    @answers.responder
    def on_get(self, req: falcon.Request, job_id: str) -> answers.Outcome:
        """Returns the job's state; waits up to `wait_ms` for its end."""
        return self.call_owner(req, job_id, self.front.query)

    @answers.responder
    def on_delete(self, req: falcon.Request, job_id: str) -> answers.Outcome:
        """Cancels the job, and waits up to `wait_ms` for its end."""
        return self.call_owner(req, job_id, self.front.cancel)

    def call_owner(
        self,
        req: falcon.Request,
        job_id: str,
        operation: Callable[..., waiters.Waiter],
    ) -> answers.Outcome:
        """Sends a query or cancellation to a job's owner for the caller."""
        return parameters.get_wait_s(req).bind(
            lambda wait_s: self.access.find_job_caller(req).bind(
                lambda caller: check_job_id(job_id, caller, self.shards).bind(
                    lambda known: notices.build_outcome(
                        operation(known, caller.workspace, wait_s=wait_s)
                    )
                )
            )
        )


def check_job_id(
    job_id: str, caller: access.Caller, shards: int
) -> result.Result[str, problems.Problem]:
    """Returns the job id, or a problem if the caller may not access it."""
    if job_ids.may_belong_to(
        job_id, caller.workspace, shards, caller.open_queue
    ):
        return result.Success(job_id)
    return result.Failure(
        problems.Problem(
            status=404,
            reason="not_found",
            detail="This workspace has no such job; use the id of the "
            "submission's answer.",
            ran=jobs.ExecutionStatus.UNKNOWN,
        )
    )
