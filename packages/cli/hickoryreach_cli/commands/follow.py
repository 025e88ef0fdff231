"""Shows, waits for, lists and cancels jobs."""

import time

from returns import result

from hickoryreach.structure import jobs
from hickoryreach_cli import client
from hickoryreach_cli import reports

WAIT_MAX_MS = 30_000
RETRY_S = 1.0


def show(caller: client.Client, job_id: str, queue: str) -> reports.Report:
    """Shows a job's state."""
    return reports.report(ask(caller, job_id, queue, 0), reports.report_job)


def wait(
    caller: client.Client, job_id: str, queue: str, timeout_s: float
) -> reports.Report:
    """Waits for a job's end, through owners and entries that change."""
    deadline = time.monotonic() + timeout_s
    while True:
        left_ms = max(0, int((deadline - time.monotonic()) * 1000))
        outcome = ask(caller, job_id, queue, min(left_ms, WAIT_MAX_MS))
        if left_ms == 0 or is_settled(outcome):
            return reports.report(outcome, reports.report_job)
        if isinstance(outcome, result.Failure) or outcome.unwrap().is_problem:
            time.sleep(RETRY_S)


def ask(
    caller: client.Client, job_id: str, queue: str, wait_ms: int
) -> client.Outcome:
    """Asks for a job's state."""
    return caller.call(
        "GET",
        f"/v1/jobs/{client.quote(job_id)}",
        query={"wait_ms": wait_ms, "queue": queue},
    )


def is_settled(outcome: client.Outcome) -> bool:
    """Returns whether asking again can bring nothing new."""
    if isinstance(outcome, result.Failure):
        return False
    reply = outcome.unwrap()
    if reply.is_problem:
        return reply.status < 500
    return jobs.JobState(reply.media["state"]).is_final


def list_jobs(
    caller: client.Client, filters: dict[str, object]
) -> reports.Report:
    """Lists one page of jobs, a line each, and the next page's cursor."""
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
    """Cancels a job; one that has ended otherwise keeps its end."""
    return reports.report(
        caller.call(
            "DELETE",
            f"/v1/jobs/{client.quote(job_id)}",
            query={"wait_ms": wait_ms, "queue": queue},
        ),
        show_cancelled,
    )


def show_cancelled(job: dict) -> reports.Report:
    """Returns the report of a cancellation, which went well if it took."""
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
