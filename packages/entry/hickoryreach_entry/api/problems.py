"""Problem details (RFC 9457) that say whether the work ran."""

import falcon
import orjson

from hickoryreach.structure import jobs

CONTENT_TYPE = "application/problem+json"


def answer(
    resp: falcon.Response,
    *,
    status: int,
    reason: str,
    detail: str,
    ran: jobs.Ran = jobs.Ran.NOT_RUN,
    **fields: object,
) -> None:
    """Writes a problem as the answer.

    Args:
        resp: The answer.
        status: HTTP status.
        reason: Short machine-readable cause.
        detail: One sentence that tells the caller what to do.
        ran: Whether the work was carried out.
        **fields: Further members of the problem.
    """
    resp.status = status
    resp.content_type = CONTENT_TYPE
    resp.data = orjson.dumps(
        {
            "type": f"urn:hickoryreach:problem:{reason}",
            "title": reason.replace("_", " "),
            "status": status,
            "detail": detail,
            "ran": str(ran),
            **fields,
        }
    )
