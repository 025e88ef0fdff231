"""Resources through which callers submit, follow and cancel work."""

import hashlib
import time

import falcon
import orjson
import pydantic

from hickoryreach.lists import allowances
from hickoryreach.lists import plans
from hickoryreach.structure import jobs
from hickoryreach.wire import messages
from hickoryreach_entry import assignment
from hickoryreach_entry import front
from hickoryreach_entry import lists
from hickoryreach_entry.api import problems

BODY_LIMIT_BYTES = 1_000_000
WAIT_LIMIT_MS = 60_000
BEARER = "Bearer "


class Submission(pydantic.BaseModel):
    """Body of a submission."""

    model_config = pydantic.ConfigDict(extra="forbid")

    request_id: str = pydantic.Field(min_length=1, max_length=200)
    queue: str = "default"
    kind: jobs.Kind = jobs.Kind.BATCH
    command: str = pydantic.Field(min_length=1, max_length=1_000)
    arguments: tuple[str, ...] = ()
    tasks: int = pydantic.Field(default=1, ge=1, le=100_000)
    need: allowances.Amount = allowances.Amount()
    run_time_ms: int = pydantic.Field(default=0, ge=0)
    idempotent: bool = True
    urgent: bool = False
    preemptible: bool = False
    timeout_ms: int = pydantic.Field(default=0, ge=0)
    wave: str = ""
    service: str = ""


class Jobs:
    """Submits a job."""

    def __init__(
        self, *, door: front.Front, in_force: lists.Lists, shards: int
    ) -> None:
        """Keeps what it needs."""
        self.front = door
        self.lists = in_force
        self.shards = shards

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Submits the job in the body, and waits up to `wait_ms`."""
        plan = authenticate(req, self.lists)
        if plan is None:
            refuse_key(resp)
            return
        body = req.bounded_stream.read(BODY_LIMIT_BYTES + 1)
        if len(body) > BODY_LIMIT_BYTES:
            problems.answer(
                resp,
                status=413,
                reason="body_too_large",
                detail=f"Send at most {BODY_LIMIT_BYTES} bytes.",
            )
            return
        try:
            submission = Submission.model_validate_json(body)
        except pydantic.ValidationError as error:
            problems.answer(
                resp,
                status=400,
                reason="malformed",
                detail="Correct the fields listed in `faults`.",
                faults=[describe_fault(row) for row in error.errors()],
            )
            return
        job = build_job(submission, plan.workspace, body, self.shards)
        waiter = self.front.submit(
            job,
            body=orjson.dumps({"arguments": job.arguments}),
            wait_s=wait_s(req),
        )
        answer_waiter(resp, waiter)


class Job:
    """Follows or cancels one job."""

    def __init__(self, *, door: front.Front, in_force: lists.Lists) -> None:
        """Keeps what it needs."""
        self.front = door
        self.lists = in_force

    def on_get(
        self, req: falcon.Request, resp: falcon.Response, job_id: str
    ) -> None:
        """Answers the job's state, and waits up to `wait_ms` for its end."""
        plan = authenticate(req, self.lists)
        if plan is None:
            refuse_key(resp)
            return
        waiter = self.front.query(job_id, plan.workspace, wait_s=wait_s(req))
        answer_waiter(resp, waiter)

    def on_delete(
        self, req: falcon.Request, resp: falcon.Response, job_id: str
    ) -> None:
        """Cancels the job."""
        plan = authenticate(req, self.lists)
        if plan is None:
            refuse_key(resp)
            return
        waiter = self.front.cancel(job_id, plan.workspace, wait_s=wait_s(req))
        answer_waiter(resp, waiter)


def authenticate(
    req: falcon.Request, in_force: lists.Lists
) -> plans.Plan | None:
    """Returns the plan of the key that came with a request."""
    header = req.get_header("Authorization") or ""
    if not header.startswith(BEARER):
        return None
    return plans.find_workspace(in_force.plans, header.removeprefix(BEARER))


def refuse_key(resp: falcon.Response) -> None:
    """Answers a request without a granted key."""
    problems.answer(
        resp,
        status=401,
        reason="key_refused",
        detail="Send a granted key as `Authorization: Bearer KEY`.",
    )


def wait_s(req: falcon.Request) -> float:
    """Returns how long the caller wants to wait, in s."""
    wanted = req.get_param_as_int("wait_ms") or 0
    return min(wanted, WAIT_LIMIT_MS) / 1000


def build_job(
    submission: Submission, workspace: str, body: bytes, shards: int
) -> jobs.Job:
    """Returns the job for a checked submission."""
    fields = submission.model_dump(exclude={"need"})
    return jobs.Job(
        **fields,
        job_id=assignment.make_job_id(workspace, submission.request_id, shards),
        workspace=workspace,
        need=submission.need.to_resources(),
        submitted_ms=int(time.time() * 1000),
        digest=hashlib.sha256(body).hexdigest(),
    )


def describe_fault(row: dict) -> str:
    """Returns one line for a fault of the body."""
    where = ".".join(str(part) for part in row["loc"])
    return f"{where}: {row['msg']}" if where else row["msg"]


def answer_waiter(resp: falcon.Response, waiter: front.Waiter) -> None:
    """Writes what a waiter learned as the answer."""
    notice = waiter.notice
    if notice is None:
        problems.answer(
            resp,
            status=503,
            reason="no_owner",
            detail="No answer from the shard's owner; ask again by job id.",
            ran=jobs.Ran.UNKNOWN,
            job_id=waiter.job_id,
        )
        return
    state = jobs.JobState(notice.state)
    if state is jobs.JobState.REFUSED:
        problems.answer(
            resp,
            status=422,
            reason=notice.reason,
            detail=notice.detail,
            ran=jobs.Ran(notice.ran),
            job_id=notice.job_id,
        )
        return
    resp.status = 200 if state.is_final else 202
    resp.content_type = falcon.MEDIA_JSON
    resp.data = orjson.dumps(describe_notice(notice, waiter))


def describe_notice(
    notice: messages.Notice, waiter: front.Waiter
) -> dict[str, object]:
    """Returns the JSON form of a notice."""
    answer = waiter.answer.body if waiter.answer else notice.answer
    return {
        "job_id": notice.job_id,
        "state": notice.state,
        "ran": notice.ran,
        "reason": notice.reason,
        "detail": notice.detail,
        "tasks": notice.tasks,
        "tasks_running": notice.tasks_running,
        "tasks_done": notice.tasks_done,
        "tasks_failed": notice.tasks_failed,
        "workers": list(notice.workers or ()),
        "status": notice.status,
        "answer": decode_answer(answer or b""),
    }


def decode_answer(data: bytes | str) -> object:
    """Returns an answer as JSON if it is JSON, else as text."""
    raw = data.encode() if isinstance(data, str) else data
    try:
        return orjson.loads(raw) if raw else None
    except ValueError:
        return raw.decode(errors="replace")
