"""Submits a job or a request."""

from hickoryreach_cli import client
from hickoryreach_cli import reports


def submit(
    caller: client.Client, submission: dict[str, object], wait_ms: int | None
) -> reports.Report:
    """Submits work, and waits up to `wait_ms` for its end."""
    return reports.report(
        caller.call("POST", "/v1/jobs", submission, query={"wait_ms": wait_ms}),
        reports.report_job,
    )
