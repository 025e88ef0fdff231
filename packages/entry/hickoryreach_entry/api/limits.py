"""A bound on the callers served at once."""

import falcon

from hickoryreach_entry.api import answers
from hickoryreach_entry.api import problems

UNBOUNDED_PATHS = ("/health", "/ready", "/metrics")
RETRY_S = 1


class CallerLimit:
    """Refuses callers above a bound, before any work is taken.

    Attributes:
        most: The bound.
        serving: Callers being served.
    """

    def __init__(self, *, most: int) -> None:
        """Creates a bound with no caller counted in."""
        self.most = most
        self.serving = 0

    def process_request(
        self, req: falcon.Request, resp: falcon.Response
    ) -> None:
        """Counts a caller in, or refuses it."""
        if req.path in UNBOUNDED_PATHS:
            return
        if self.serving >= self.most:
            answers.write_problem(
                resp,
                problems.Problem(
                    status=503,
                    reason="too_many_callers",
                    detail="Send the call again, or to another entry.",
                    retry_after_s=RETRY_S,
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
        """Counts a caller out."""
        if getattr(req.context, "counted", False):
            self.serving -= 1
