"""Problem details (RFC 9457) that say whether the work ran."""

from collections.abc import Sequence
import dataclasses

from hickoryreach.structure import jobs

CONTENT_TYPE = "application/problem+json"
TYPE_PREFIX = "urn:hickoryreach:problem:"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Problem:
    """Reason why a call was not executed as requested.

    Attributes:
        status: HTTP status.
        reason: Short machine-readable cause.
        detail: One sentence that tells the caller what to do.
        ran: Whether the work, or the change, was executed.
        retry_after_s: Delay before a retry, in s; 0 to send none.
        extra: Additional members, each a JSON value.
    """

    status: int
    reason: str
    detail: str
    ran: jobs.ExecutionStatus = jobs.ExecutionStatus.NOT_RUN
    retry_after_s: int = 0
    extra: dict[str, object] = dataclasses.field(default_factory=dict)

    def to_media(self) -> dict[str, object]:
        """Returns the problem as JSON members."""
        return {
            "type": TYPE_PREFIX + self.reason,
            "title": self.reason.replace("_", " "),
            "status": self.status,
            "detail": self.detail,
            "ran": str(self.ran),
            **self.extra,
        }


def build_malformed_problem(detail: str, faults: Sequence[str] = ()) -> Problem:
    """Returns the problem for a malformed call.

    Args:
        detail: One sentence that tells the caller what to do.
        faults: Faults to correct, one line each.
    """
    return Problem(
        status=400,
        reason="malformed",
        detail=detail,
        extra={"faults": list(faults)} if faults else {},
    )
