"""What entries are told about jobs."""

import hashlib
import time

from hickoryreach.decisions import effects
from hickoryreach.decisions import records as decision_records
from hickoryreach.structure import jobs
from hickoryreach.wire import messages
from hickoryreach_entry.owner import image as journal_image
from hickoryreach_entry.owner import records

ANSWER_LIMIT_BYTES = 4_096
NOT_FOUND = "not_found"


def describe_record(record: decision_records.JobRecord) -> messages.Notice:
    """Returns the notice for a job that the reducer holds."""
    return messages.Notice(
        job_id=record.job.job_id,
        state=str(record.state),
        ran=str(record.ran),
        tasks=record.job.tasks,
        tasks_running=len(record.running),
        tasks_done=len(record.done),
        tasks_failed=len(record.failed),
        workers=sorted(
            {attempt.worker_id for attempt in record.running.values()}
        ),
    )


def describe_change(
    record: decision_records.JobRecord | None, effect: effects.JobChanged
) -> messages.Notice:
    """Returns the notice for a change of a job."""
    notice = (
        describe_record(record)
        if record is not None
        else messages.Notice(job_id=effect.job_id)
    )
    notice.state = str(effect.state)
    notice.ran = str(effect.ran)
    notice.reason = effect.reason
    notice.detail = effect.detail
    notice.status = effect.status
    notice.answer = effect.answer
    return notice


def describe_finished(finished: records.JobFinished) -> messages.Notice:
    """Returns the notice for a job that the journal tells the end of."""
    notice = messages.Notice(
        job_id=finished.job_id,
        state=str(finished.state),
        ran=str(finished.ran),
        reason=finished.reason,
        detail=finished.detail,
        status=finished.status,
        answer=finished.answer.encode(),
        tasks=finished.tasks,
        tasks_done=finished.tasks_done,
        tasks_failed=finished.tasks_failed,
    )
    if finished.answer_digest:
        notice.reason = "answer_not_kept"
        notice.detail = (
            "The answer was too large to keep; its SHA-256 is "
            f"{finished.answer_digest}."
        )
    return notice


def describe_unkept(notice: messages.Notice, *, told: bool) -> messages.Notice:
    """Returns the notice for a job whose final record is not kept yet."""
    cancelled = notice.state == str(jobs.JobState.CANCELLED)
    if told and not cancelled:
        return notice
    return messages.Notice(
        job_id=notice.job_id,
        state=str(jobs.JobState.RUNNING),
        ran=notice.ran,
        tasks=notice.tasks,
        tasks_done=notice.tasks_done,
        tasks_failed=notice.tasks_failed,
    )


def describe_progress(progress: journal_image.Progress) -> messages.Notice:
    """Returns the notice for a job whose attempt is being looked for."""
    return messages.Notice(
        job_id=progress.job.job_id,
        state=str(jobs.JobState.RUNNING),
        ran=str(jobs.ExecutionStatus.UNKNOWN),
        tasks=progress.job.tasks,
        tasks_done=len(progress.done),
        tasks_failed=len(progress.failed),
    )


def describe_absent(job_id: str) -> messages.Notice:
    """Returns the notice for a job that is not known."""
    return messages.Notice(
        job_id=job_id,
        state=str(jobs.JobState.UNKNOWN),
        ran=str(jobs.ExecutionStatus.UNKNOWN),
        reason=NOT_FOUND,
        detail="This shard knows no such job.",
    )


def describe_refusal(
    job_id: str, call_id: str, reason: str, detail: str
) -> messages.Notice:
    """Returns the notice for a call of which nothing has run."""
    return messages.Notice(
        job_id=job_id,
        call_id=call_id,
        state=str(jobs.JobState.REFUSED),
        ran=str(jobs.ExecutionStatus.NOT_RUN),
        reason=reason,
        detail=detail,
    )


def build_finished(
    record: decision_records.JobRecord, effect: effects.JobChanged
) -> records.JobFinished:
    """Returns the journal's record of a job's end."""
    answer, digest = shorten_answer(effect.answer)
    return records.JobFinished(
        job_id=effect.job_id,
        state=effect.state,
        ran=effect.ran,
        reason=effect.reason,
        detail=effect.detail,
        status=effect.status,
        answer=answer,
        answer_digest=digest,
        digest=record.job.digest,
        workspace=record.job.workspace,
        idempotent=record.job.idempotent,
        tasks=record.job.tasks,
        tasks_done=len(record.done),
        tasks_failed=len(record.failed),
        finished_ms=int(time.time() * 1000),
    )


def shorten_answer(answer: bytes) -> tuple[str, str]:
    """Returns a small text answer and no digest, or only its digest."""
    if len(answer) <= ANSWER_LIMIT_BYTES:
        try:
            return answer.decode(), ""
        except UnicodeDecodeError:
            pass
    return "", hashlib.sha256(answer).hexdigest()
