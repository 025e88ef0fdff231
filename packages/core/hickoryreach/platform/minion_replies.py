"""Replies of minions to orders and polls."""

from returns import result

from hickoryreach.platform import http
from hickoryreach.platform import minions
from hickoryreach.platform import numbers

MEASUREMENT_COLUMN = 4


def parse_order(call_result: http.CallResult) -> minions.OrderResult:
    """Returns the minion's clock in ms that the answer to an order tells."""
    return call_result.lash(_convert_failure).bind(_parse_order)


def parse_poll(call_result: http.CallResult) -> minions.PollResult:
    """Returns what the answer to a poll lists."""
    return call_result.lash(_convert_failure).bind(_parse_poll_reply)


def _convert_failure(failure: http.CallFailure) -> result.Result:
    return result.Failure(
        minions.OrderFailure(
            reason=failure.reason, effect_unknown=failure.effect_unknown
        )
    )


def _build_refusal(answer: http.Answer) -> result.Result:
    if answer.status in (http.TOO_MANY, http.UNAVAILABLE):
        refusal = minions.Refusal.UNHEALTHY
    elif answer.status == http.MISDIRECTED:
        refusal = minions.Refusal.OTHER_INCARNATION
    elif answer.status == http.CONFLICT:
        refusal = _parse_reason(answer)
    else:
        refusal = minions.Refusal.MALFORMED
    return result.Failure(
        minions.OrderFailure(reason=f"status {answer.status}", refusal=refusal)
    )


def _parse_reason(answer: http.Answer) -> minions.Refusal:
    try:
        return minions.Refusal(answer.body["reason"])
    except (KeyError, TypeError, ValueError):
        return minions.Refusal.MALFORMED


def _parse_order(answer: http.Answer) -> minions.OrderResult:
    if answer.status != http.OK:
        return _build_refusal(answer)
    try:
        return result.Success(numbers.parse_whole(answer.body["clockMs"]))
    except (ArithmeticError, KeyError, TypeError, ValueError) as error:
        return _build_malformed_failure(error)


def _build_malformed_failure(error: Exception) -> result.Result:
    return result.Failure(
        minions.OrderFailure(
            reason=f"malformed answer: {type(error).__name__}: {error}",
            effect_unknown=True,
        )
    )


def _parse_poll_reply(answer: http.Answer) -> minions.PollResult:
    if answer.status != http.OK:
        return _build_refusal(answer)
    try:
        body = answer.body
        return result.Success(
            minions.PollReply(
                incarnation=numbers.parse_whole(body.get("born") or 0),
                clock_ms=numbers.parse_whole(body["clockMs"]),
                running=tuple(_parse_running(row) for row in body["running"]),
                ends=tuple(_parse_end(row) for row in body["finished"]),
            )
        )
    except numbers.MALFORMED_ERRORS as error:
        return _build_malformed_failure(error)


def _parse_running(row: list) -> minions.RunningTask:
    return minions.RunningTask(
        key=minions.parse_task(row[0]),
        run=numbers.parse_whole(row[1]),
        checkpoint=str(row[2] or ""),
        percent=numbers.parse_whole(row[3]),
        measurement=float(row[4] or 0.0)
        if len(row) > MEASUREMENT_COLUMN
        else 0.0,
    )


def _parse_end(row: list) -> minions.TaskEnd:
    return minions.TaskEnd(
        number=numbers.parse_whole(row[0]),
        key=minions.parse_task(row[1]),
        run=numbers.parse_whole(row[2]),
        kind=minions.EndKind(row[3]),
        checkpoint=str(row[4] or ""),
    )
