"""Client of the platform's advice service."""

import dataclasses

from returns import result

from hickoryreach.platform import http

MAX_MINIONS_PER_CALL = 100


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Advice:
    """Which of the minions asked about may run a step.

    Attributes:
        tickets: Ticket of each minion that may, by id.
        valid_ms: How long the tickets may be used; 0 if not told.
    """

    tickets: dict[str, str]
    valid_ms: int


class AdviceClient:
    """Calls to the advice service, which answers one call at a time."""

    def __init__(self, *, address: str, timeout_s: float) -> None:
        """Creates a client; opens no connection yet."""
        self.http = http.Client(
            address=address,
            kind="advice",
            timeout_s=timeout_s,
            connections=1,
        )

    def fetch_advice(
        self, step: str, minion_ids: tuple[str, ...]
    ) -> result.Result[Advice, http.CallFailure]:
        """Asks which of at most MAX_MINIONS_PER_CALL minions may run a step."""
        body = {"step": step, "workers": list(minion_ids)}
        return self.http.call("POST", "/advise", body).bind(_parse)

    def close(self) -> None:
        """Closes the connection."""
        self.http.close()


def _parse(
    answer: http.Answer,
) -> result.Result[Advice, http.CallFailure]:
    if answer.status != http.OK:
        return _fail(f"status {answer.status}")
    try:
        tickets = {str(row[0]): str(row[1]) for row in answer.body["good"]}
        valid_ms = int(answer.body.get("validMs") or 0)
    except (
        AttributeError,
        IndexError,
        KeyError,
        TypeError,
        ValueError,
    ) as error:
        return _fail(f"malformed answer: {type(error).__name__}: {error}")
    return result.Success(Advice(tickets=tickets, valid_ms=valid_ms))


def _fail(reason: str) -> result.Result:
    return result.Failure(http.CallFailure(reason=reason, effect_unknown=False))
