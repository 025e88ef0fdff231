"""Output and exit codes of commands."""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses

import orjson
from returns import result

from hickoryreach.runbooks import steps
from hickoryreach.structure import jobs
from hickoryreach_cli import client

USAGE_ERROR = 2
EXIT_CODE_BY_STATUS = {
    jobs.ExecutionStatus.NOT_RUN: steps.EXIT_NOT_RUN,
    jobs.ExecutionStatus.RAN: steps.EXIT_FAILED,
    jobs.ExecutionStatus.UNKNOWN: steps.EXIT_UNKNOWN,
}


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Report:
    """Result of a command.

    Attributes:
        exit_code: 0 for success, 1 for work that ran and failed or was
            cancelled, 2 for wrong usage, 3 for not run, 4 for unknown.
        lines: Lines for standard output.
        errors: Lines for standard error.
    """

    exit_code: int = steps.EXIT_OK
    lines: tuple[str, ...] = ()
    errors: tuple[str, ...] = ()


def report(outcome: client.Outcome, show: Callable[[object], Report]) -> Report:
    """Returns the report of a call, built by `show` if it succeeded."""
    if isinstance(outcome, result.Failure):
        return report_no_reply(outcome.failure())
    reply = outcome.unwrap()
    try:
        return report_problem(reply) if reply.is_problem else show(reply.media)
    except (AttributeError, KeyError, TypeError, ValueError):
        return report_invalid_reply(reply)


def report_no_reply(failure: client.NoReply) -> Report:
    """Returns the report of a call without a complete response."""
    return Report(
        exit_code=EXIT_CODE_BY_STATUS[failure.ran],
        errors=(f"{failure.reason} (ran: {failure.ran})",),
    )


def report_invalid_reply(reply: client.Reply) -> Report:
    """Returns the report of a response that no entry would send."""
    return Report(
        exit_code=steps.EXIT_UNKNOWN,
        errors=(
            f"status {reply.status}: the answer is not one of an entry "
            f"(ran: {jobs.ExecutionStatus.UNKNOWN})",
        ),
    )


def report_problem(reply: client.Reply) -> Report:
    """Returns the report of a problem, with every fault it lists."""
    problem = reply.media if isinstance(reply.media, dict) else {}
    ran = jobs.ExecutionStatus(problem.get("ran", jobs.ExecutionStatus.UNKNOWN))
    title = problem.get("title", f"status {reply.status}")
    lines = [f"{title}: {problem.get('detail', '')} (ran: {ran})"]
    lines += problem.get("faults", ())
    lines += [
        f"{name}: {problem[name]}"
        for name in ("job_id", "token")
        if name in problem
    ]
    if "current" in problem:
        lines.append(to_json(problem["current"]))
    return Report(
        exit_code=problem.get("exit_code", EXIT_CODE_BY_STATUS[ran]),
        errors=tuple(lines),
    )


def report_job(job: dict) -> Report:
    """Returns the report of one job's state."""
    state = jobs.JobState(job["state"])
    return Report(exit_code=steps.EXIT_CODES[state], lines=(to_json(job),))


def report_media(media: object) -> Report:
    """Returns the report of a response as JSON."""
    return Report(lines=(to_json(media),))


def report_page(lines: Sequence[str], after: str) -> Report:
    """Returns the report of one page, with the cursor of the next if any."""
    more = (f"more: --after={after}",) if after else ()
    return Report(lines=(*lines, *more))


def report_usage(fault: str) -> Report:
    """Returns the report of wrong usage, for which no call was made."""
    return Report(exit_code=USAGE_ERROR, errors=(fault,))


def to_json(value: object) -> str:
    """Returns a value as indented JSON."""
    return orjson.dumps(value, option=orjson.OPT_INDENT_2).decode()
