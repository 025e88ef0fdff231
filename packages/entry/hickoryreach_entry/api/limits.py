"""Limits the number of concurrent callers."""

import falcon

from hickoryreach_entry.api import answers
from hickoryreach_entry.api import problems

EXEMPT_PATHS = ("/health", "/ready", "/metrics")
RETRY_AFTER_S = 1


class CallerLimit:
    """Rejects callers above a limit, before any work is accepted.

    Attributes:
        max_callers: Most callers served at once.
        serving: Number of callers being served.
    """

    def __init__(self, *, max_callers: int) -> None:
        """Creates a limiter that serves no caller yet."""
        self.max_callers = max_callers
        self.serving = 0

    def process_request(
        self, req: falcon.Request, resp: falcon.Response
    ) -> None:
        """Counts a caller, or rejects it above the limit."""
        if req.path in EXEMPT_PATHS:
            return
        if self.serving >= self.max_callers:
            answers.write_problem(
                resp,
                problems.Problem(
                    status=503,
                    reason="too_many_callers",
                    detail="Send the call again, or to another entry.",
                    retry_after_s=RETRY_AFTER_S,
                ),
            )
            resp.complete = True
            return
        self.serving += 1
        req.context.counted = True

    def process_response(
        self,
        req: falcon.Request,
        resp: falcon.Response,
        resource: object,
        req_succeeded: bool,
    ) -> None:
        """Releases the place of a caller that was counted."""
        if getattr(req.context, "counted", False):
            self.serving -= 1
