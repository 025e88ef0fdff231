"""Builds HTTP responses from notices about jobs."""

import orjson
from returns import result

from hickoryreach.structure import jobs
from hickoryreach.wire import messages
from hickoryreach_entry import waiters
from hickoryreach_entry.api import answers
from hickoryreach_entry.api import problems

DEFAULT_STATUS = 422
RETRY_AFTER_S = 1
STATUS_BY_REASON = {
    "not_found": 404,
    "request_id_reused": 409,
    "unknown_workspace": 403,
    "body_too_large": 413,
    "overload": 429,
    "store_unavailable": 503,
    "no_owner": 503,
}


def build_outcome(waiter: waiters.Waiter) -> answers.Outcome:
    """Returns the outcome for the last notice that a waiter received."""
    notice = waiter.notice
    if notice is None:
        return result.Failure(build_no_owner_problem(waiter.job_id))
    state = jobs.JobState(notice.state)
    if state is jobs.JobState.REFUSED or notice.reason == "not_found":
        return result.Failure(build_problem(notice))
    return result.Success(
        answers.Answer(
            media=describe_notice(notice, waiter),
            status=200 if state.is_final else 202,
        )
    )


def build_no_owner_problem(job_id: str = "") -> problems.Problem:
    """Returns the problem for a call that a shard's owner did not answer."""
    detail = "No answer from a shard's owner; send the call again."
    if job_id:
        detail = (
            "No answer from the shard's owner; ask by job id, or send the "
            "same request id again."
        )
    return problems.Problem(
        status=503,
        reason="no_owner",
        detail=detail,
        ran=jobs.ExecutionStatus.UNKNOWN,
        retry_after_s=RETRY_AFTER_S,
        extra={"job_id": job_id} if job_id else {},
    )


def build_problem(notice: messages.Notice) -> problems.Problem:
    """Returns the problem that a refusal maps to."""
    status = STATUS_BY_REASON.get(notice.reason, DEFAULT_STATUS)
    return problems.Problem(
        status=status,
        reason=notice.reason or "refused",
        detail=notice.detail or "See the HTTP reference.",
        ran=jobs.ExecutionStatus(notice.ran),
        retry_after_s=RETRY_AFTER_S if status in (429, 503) else 0,
        extra={"job_id": notice.job_id},
    )


def describe_notice(
    notice: messages.Notice, waiter: waiters.Waiter | None = None
) -> dict[str, object]:
    """Returns the JSON form of a notice."""
    answer = notice.answer
    if waiter is not None and waiter.answer is not None:
        answer = waiter.answer.body
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
    """Decodes a job's answer as JSON if it is JSON, else as text."""
    raw = data.encode() if isinstance(data, str) else data
    try:
        return orjson.loads(raw) if raw else None
    except ValueError:
        return raw.decode(errors="replace")
