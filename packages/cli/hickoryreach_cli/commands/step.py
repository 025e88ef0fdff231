"""Runs a step of a runbook."""

from hickoryreach_cli import client
from hickoryreach_cli import reports


def run_step(
    caller: client.Client, system: str, words: list[str]
) -> reports.Report:
    """Runs a legacy command; a single word is sent as a whole line."""
    body: dict[str, object] = {"system": system}
    if len(words) == 1:
        body["line"] = words[0]
    else:
        body["argv"] = words
    return reports.report(caller.call("POST", "/v1/steps", body), show_output)


def show_output(media: dict) -> reports.Report:
    """Returns the report with the legacy command's output and exit code."""
    return reports.Report(
        exit_code=media["exit_code"], lines=(media["output"],)
    )
