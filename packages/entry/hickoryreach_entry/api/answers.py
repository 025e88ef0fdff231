"""HTTP responses built from the outcomes of calls."""

from collections.abc import Callable
import dataclasses
import functools
import logging
import re

import falcon
import orjson
from returns import result

from hickoryreach.structure import jobs
from hickoryreach_entry.api import problems

log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Answer:
    """Successful response to a call.

    Attributes:
        media: The JSON value.
        status: HTTP status.
    """

    media: object
    status: int = 200


Outcome = result.Result[Answer, problems.Problem]


def responder(handler: Callable[..., Outcome]) -> Callable[..., None]:
    """Turns a method that returns an outcome into a falcon responder."""

    @functools.wraps(handler)
    def respond(
        self: object,
        req: falcon.Request,
        resp: falcon.Response,
        **parameters: str,
    ) -> None:
        write(resp, handler(self, req, **parameters))

    return respond


def write(resp: falcon.Response, outcome: Outcome) -> None:
    """Writes an outcome to the response."""
    if isinstance(outcome, result.Failure):
        write_problem(resp, outcome.failure())
        return
    answer = outcome.unwrap()
    resp.status = answer.status
    resp.content_type = falcon.MEDIA_JSON
    resp.data = orjson.dumps(answer.media)


def write_problem(resp: falcon.Response, problem: problems.Problem) -> None:
    """Writes a problem to the response."""
    resp.status = problem.status
    resp.content_type = problems.CONTENT_TYPE
    resp.data = orjson.dumps(problem.to_media())
    if problem.retry_after_s:
        resp.set_header("Retry-After", str(problem.retry_after_s))


def handle_http_error(
    req: falcon.Request,
    resp: falcon.Response,
    error: falcon.HTTPError,
    params: dict,
) -> None:
    """Responds to a call that falcon rejected before any work was accepted."""
    resp.set_headers(error.headers or {})
    write_problem(
        resp,
        problems.Problem(
            status=error.status_code,
            reason=build_reason(error),
            detail=error.description or "See the HTTP reference.",
        ),
    )


def build_reason(error: falcon.HTTPError) -> str:
    """Returns the machine-readable reason for an error of falcon."""
    words = re.findall(r"[a-z]+", (error.title or "error").lower())
    return "_".join(words)


def handle_unexpected_error(
    req: falcon.Request,
    resp: falcon.Response,
    error: Exception,
    params: dict,
) -> None:
    """Responds to an unexpected error without revealing its cause.

    The error's message is not logged either, since it may quote the call.
    """
    log.error(
        "call_failed",
        extra={
            "method": req.method,
            "route": req.uri_template or "",
            "error": type(error).__name__,
            "where": locate_error(error),
        },
    )
    write_problem(
        resp,
        problems.Problem(
            status=500,
            reason="internal_fault",
            detail="Ask for the state by job id, then send the call again.",
            ran=jobs.ExecutionStatus.UNKNOWN,
        ),
    )


def locate_error(error: Exception) -> str:
    """Returns the module and line that raised an error."""
    trace = error.__traceback__
    while trace is not None and trace.tb_next is not None:
        trace = trace.tb_next
    if trace is None:
        return ""
    module = trace.tb_frame.f_globals.get("__name__", "")
    return f"{module}:{trace.tb_lineno}"
