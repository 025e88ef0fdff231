"""Shows, waits for, lists and cancels jobs."""

import time

from returns import result

from hickoryreach.structure import jobs
from hickoryreach_cli import client
from hickoryreach_cli import reports

MAX_WAIT_MS = 30_000
RETRY_INTERVAL_S = 1.0


def show(caller: client.Client, job_id: str, queue: str) -> reports.Report:
    """Shows a job's state."""
    return reports.report(
        query_job(caller, job_id, queue, 0), reports.report_job
    )


def wait(
    caller: client.Client, job_id: str, queue: str, timeout_s: float
) -> reports.Report:
    """Waits for a job's end, across changes of its owner or of the entry."""
    deadline = time.monotonic() + timeout_s
    while True:
        left_ms = max(0, int((deadline - time.monotonic()) * 1000))
        outcome = query_job(caller, job_id, queue, min(left_ms, MAX_WAIT_MS))
        if left_ms == 0 or is_conclusive(outcome):
            return reports.report(outcome, reports.report_job)
        if isinstance(outcome, result.Failure) or outcome.unwrap().is_problem:
            time.sleep(RETRY_INTERVAL_S)


def query_job(
    caller: client.Client, job_id: str, queue: str, wait_ms: int
) -> client.Outcome:
    """Requests a job's state."""
    return caller.call(
        "GET",
        f"/v1/jobs/{client.quote(job_id)}",
        query={"wait_ms": wait_ms, "queue": queue},
    )


def is_conclusive(outcome: client.Outcome) -> bool:
    """Returns whether another query cannot change the outcome."""
    if isinstance(outcome, result.Failure):
        return False
    reply = outcome.unwrap()
    if reply.is_problem:
        return reply.status < 500
    return jobs.JobState(reply.media["state"]).is_final


def list_jobs(
    caller: client.Client, filters: dict[str, object]
) -> reports.Report:
    """Lists one page of jobs, one per line, with the next page's cursor."""
    return reports.report(
        caller.call("GET", "/v1/jobs", query=filters), show_page
    )


def show_page(media: dict) -> reports.Report:
    """Returns the report of one page."""
    lines = [
        f"{job['job_id']} {job['state']} ran={job['ran']} "
        f"done={job['tasks_done']}/{job['tasks']}"
        for job in media["jobs"]
    ]
    return reports.report_page(lines, media["after"])


def cancel(
    caller: client.Client, job_id: str, queue: str, wait_ms: int
) -> reports.Report:
    """Cancels a job; a job that has already ended keeps its final state."""
    return reports.report(
        caller.call(
            "DELETE",
            f"/v1/jobs/{client.quote(job_id)}",
            query={"wait_ms": wait_ms, "queue": queue},
        ),
        show_cancelled,
    )


def show_cancelled(job: dict) -> reports.Report:
    """Returns the report of a cancellation, a success if it took effect."""
    shown = reports.report_job(job)
    if job["state"] == jobs.JobState.CANCELLED:
        return reports.Report(lines=shown.lines)
    return shown


def cancel_wave(caller: client.Client, wave: str) -> reports.Report:
    """Cancels every job of a wave."""
    return reports.report(
        caller.call("DELETE", f"/v1/waves/{client.quote(wave)}"),
        reports.report_media,
    )
