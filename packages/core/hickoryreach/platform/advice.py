"""Client of the advice service, which names the minions for a step."""

import dataclasses

from returns import result

from hickoryreach.platform import http
from hickoryreach.platform import numbers

MAX_MINIONS_PER_CALL = 100


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Advice:
    """Minions that may run a step, with their tickets.

    Attributes:
        tickets: Ticket of each eligible minion, by minion id.
        valid_ms: Validity of the tickets in ms; 0 if not reported.
    """

    tickets: dict[str, str]
    valid_ms: int


class AdviceClient:
    """Client of the advice service, which serves one call at a time."""

    def __init__(self, *, address: str, timeout_s: float) -> None:
        """Creates a client without opening a connection.

        Args:
            address: `host:port` of the service.
            timeout_s: Time-out of each network operation within a call.
        """
        self.http = http.Client(
            address=address,
            kind="advice",
            timeout_s=timeout_s,
            connections=1,
        )

    def fetch_advice(
        self, step: str, minion_ids: tuple[str, ...]
    ) -> result.Result[Advice, http.CallFailure]:
        """Fetches which of some minions may run a step.

        Args:
            step: Name of the step.
            minion_ids: At most MAX_MINIONS_PER_CALL minions.
        """
        body = {"step": step, "workers": list(minion_ids)}
        return self.http.call("POST", "/advise", body).bind(_parse_advice)

    def close(self) -> None:
        """Closes the connection."""
        self.http.close()


def _parse_advice(
    answer: http.Answer,
) -> result.Result[Advice, http.CallFailure]:
    if answer.status != http.OK:
        return _build_failure(f"status {answer.status}")
    try:
        tickets = dict(_parse_row(row) for row in answer.body["good"])
        valid_ms = numbers.parse_whole(answer.body.get("validMs") or 0)
    except numbers.MALFORMED_ERRORS as error:
        return _build_failure(
            f"malformed answer: {type(error).__name__}: {error}"
        )
    return result.Success(Advice(tickets=tickets, valid_ms=valid_ms))


def _parse_row(row: list) -> tuple[str, str]:
    """Returns the id of a minion and its ticket.

    A row that was passed by would deny its minion to the step for good.
    """
    minion_id, ticket, *_ = row
    is_sound = isinstance(minion_id, str) and isinstance(ticket, str | int)
    if isinstance(row, str) or not is_sound:
        raise TypeError("a row must hold an id and a ticket")
    return minion_id, str(ticket)


def _build_failure(reason: str) -> result.Result:
    return result.Failure(http.CallFailure(reason=reason, effect_unknown=False))
