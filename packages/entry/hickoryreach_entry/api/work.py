"""Resources through which callers submit, follow and cancel work."""

from collections.abc import Callable

import falcon
import gevent
import pydantic
from returns import result

from hickoryreach.structure import jobs
from hickoryreach.wire import messages
from hickoryreach_entry import front
from hickoryreach_entry.api import access
from hickoryreach_entry.api import answers
from hickoryreach_entry.api import bodies
from hickoryreach_entry.api import job_ids
from hickoryreach_entry.api import notices
from hickoryreach_entry.api import problems
from hickoryreach_entry.api import submissions

WAIT_LIMIT_MS = 60_000
REQUEST_WAIT_MS = 30_000
PAGE_LIMIT = 500
PAGE_DEFAULT = 100
WAVE_SENDS = 3
WAVE_REPEAT_S = 0.2

ListJobs = Callable[[messages.ListRequest], messages.ListReply]


class Jobs:
    """Submits a job, and lists a workspace's jobs."""

    def __init__(
        self,
        *,
        door: front.Front,
        gate: access.Access,
        shards: int,
        list_jobs: ListJobs | None,
    ) -> None:
        """Keeps what it needs."""
        self.front = door
        self.access = gate
        self.shards = shards
        self.list_jobs = list_jobs

    @answers.answered
    def on_post(self, req: falcon.Request) -> answers.Outcome:
        """Submits the job in the body, and waits up to `wait_ms`."""
        return (
            bodies.read(req)
            .bind(lambda body: bodies.parse(submissions.Submission, body))
            .bind(lambda submission: self.submit(req, submission))
        )

    def submit(
        self, req: falcon.Request, submission: submissions.Submission
    ) -> answers.Outcome:
        """Submits a checked submission for the caller."""
        return get_wait_s(req, submission.kind).bind(
            lambda wait_s: self.access.find_submitter(
                req, submission.queue
            ).bind(
                lambda caller: self.send(submission, caller.workspace, wait_s)
            )
        )

    def send(
        self,
        submission: submissions.Submission,
        workspace: str,
        wait_s: float,
    ) -> answers.Outcome:
        """Sends a submission to its owner, and waits."""
        job = submissions.build_job(submission, workspace, self.shards)
        waiter = self.front.submit(
            job, body=submissions.build_body(job), wait_s=wait_s
        )
        return notices.answer_waiter(waiter)

    @answers.answered
    def on_get(self, req: falcon.Request) -> answers.Outcome:
        """Lists jobs by id: `state`, `wave`, `limit`, and `after` a page."""
        limit = req.get_param_as_int("limit", min_value=1) or PAGE_DEFAULT
        return self.access.find_reader(req).bind(
            lambda caller: self.list_page(
                messages.ListRequest(
                    workspace=caller.workspace,
                    state=req.get_param("state") or "",
                    wave=req.get_param("wave") or "",
                    after=req.get_param("after") or "",
                    limit=min(limit, PAGE_LIMIT),
                )
            )
        )

    def list_page(self, request: messages.ListRequest) -> answers.Outcome:
        """Fills one page from the shards in order, from the cursor on."""
        first, _, after = request.after.partition("/")
        if first and not first.isdecimal():
            return result.Failure(
                problems.Problem(
                    status=400,
                    reason="malformed",
                    detail="Pass `after` as the last page gave it.",
                )
            )
        rows: list[dict] = []
        cursor = ""
        for shard in range(int(first or 0), self.shards):
            reply = self.list_shard(
                messages.ListRequest(
                    shard=shard,
                    workspace=request.workspace,
                    state=request.state,
                    wave=request.wave,
                    after=after,
                    limit=request.limit - len(rows),
                )
            )
            if reply is None or not reply.owner:
                return result.Failure(no_owner())
            after = ""
            rows += [notices.describe(row) for row in reply.jobs or ()]
            if reply.after:
                cursor = f"{shard}/{reply.after}"
                break
            if len(rows) >= request.limit and shard + 1 < self.shards:
                cursor = f"{shard + 1}/"
                break
        return result.Success(
            answers.Answer(media={"jobs": rows, "after": cursor})
        )

    def list_shard(
        self, request: messages.ListRequest
    ) -> messages.ListReply | None:
        """Returns one shard's part of a page."""
        return self.list_jobs(request) if self.list_jobs else None


class Job:
    """Follows or cancels one job."""

    def __init__(
        self, *, door: front.Front, gate: access.Access, shards: int
    ) -> None:
        """Keeps what it needs."""
        self.front = door
        self.access = gate
        self.shards = shards

    @answers.answered
    def on_get(self, req: falcon.Request, job_id: str) -> answers.Outcome:
        """Answers the job's state, and waits up to `wait_ms` for its end."""
        return self.reach(req, job_id, self.front.query)

    @answers.answered
    def on_delete(self, req: falcon.Request, job_id: str) -> answers.Outcome:
        """Cancels the job, and waits up to `wait_ms` for its end."""
        return self.reach(req, job_id, self.front.cancel)

    def reach(
        self,
        req: falcon.Request,
        job_id: str,
        ask: Callable[..., front.Waiter],
    ) -> answers.Outcome:
        """Asks the owner of a job on behalf of the caller."""
        return get_wait_s(req).bind(
            lambda wait_s: self.access.find_reader(req).bind(
                lambda caller: check_job_id(
                    job_id, caller.workspace, self.shards
                ).bind(
                    lambda known: notices.answer_waiter(
                        ask(known, caller.workspace, wait_s=wait_s)
                    )
                )
            )
        )


class Wave:
    """Cancels every job of one wave."""

    def __init__(
        self, *, door: front.Front, gate: access.Access, shards: int
    ) -> None:
        """Keeps what it needs."""
        self.front = door
        self.access = gate
        self.shards = shards

    @answers.answered
    def on_delete(self, req: falcon.Request, wave: str) -> answers.Outcome:
        """Asks every owner to cancel the caller's jobs of a wave."""
        return self.access.find_caller(req).bind(
            lambda caller: self.cancel(caller.workspace, wave)
        )

    def cancel(self, workspace: str, wave: str) -> answers.Outcome:
        """Sends the cancellation to each shard, against loss more than once."""
        message = messages.Cancellation(workspace=workspace, wave=wave)
        known = True
        for _ in range(WAVE_SENDS):
            known = all(
                [
                    self.front.send_to_owner(shard, "cancellations", message)
                    for shard in range(self.shards)
                ]
            )
            gevent.sleep(WAVE_REPEAT_S)
        if not known:
            return result.Failure(no_owner())
        return result.Success(
            answers.Answer(media={"wave": wave, "cancelling": True}, status=202)
        )


def no_owner() -> problems.Problem:
    """Returns the problem of a shard whose owner does not answer."""
    return problems.Problem(
        status=503,
        reason="no_owner",
        detail="No answer from a shard's owner; send the call again.",
        ran=jobs.Ran.UNKNOWN,
        retry_after_s=notices.RETRY_S,
    )


def check_job_id(
    job_id: str, workspace: str, shards: int
) -> result.Result[str, problems.Problem]:
    """Returns a job id that can be the workspace's own."""
    if job_ids.may_be_of(job_id, workspace, shards):
        return result.Success(job_id)
    return result.Failure(
        problems.Problem(
            status=404,
            reason="not_found",
            detail="This workspace has no such job; use the id of the "
            "submission's answer.",
            ran=jobs.Ran.UNKNOWN,
        )
    )


def get_wait_s(
    req: falcon.Request, kind: jobs.Kind | None = None
) -> result.Result[float, problems.Problem]:
    """Returns how long the caller wants to wait, in s."""
    default = REQUEST_WAIT_MS if kind is jobs.Kind.REQUEST else 0
    text = req.get_param("wait_ms")
    try:
        wanted = default if text is None else _wait_type.validate_python(text)
    except pydantic.ValidationError:
        return result.Failure(
            problems.Problem(
                status=400,
                reason="malformed",
                detail="Give `wait_ms` as a whole number of ms, 0 or more.",
            )
        )
    return result.Success(min(wanted, WAIT_LIMIT_MS) / 1000)


_wait_type = pydantic.TypeAdapter(pydantic.NonNegativeInt)
