"""Client of the HTTP interface through which minions run tasks."""

from collections.abc import Callable

from returns import result

from hickoryreach.platform import http
from hickoryreach.platform import minions
from hickoryreach.platform import numbers
from hickoryreach.structure import steps

ORDER_TIMEOUT_S = 0.4
POLL_MARGIN_S = 0.35
MEASUREMENT_COLUMN = 4


class MinionClient:
    """Client of one minion.

    Attributes:
        minion_id: Id of the minion; a minion with another id refuses the
            call.
        orders: Client for orders and immediate polls.
        polls: Client for polls that wait for an end.
    """

    def __init__(
        self,
        *,
        minion_id: str,
        address: str,
        poll_wait_ms: int,
        connections: int = 4,
    ) -> None:
        """Creates a client without opening a connection.

        Args:
            minion_id: Id of the minion.
            address: `host:port` of the minion.
            poll_wait_ms: Longest wait of a poll, at most 2,000 ms.
            connections: Maximum number of concurrent orders.
        """
        self.minion_id = minion_id
        headers = {"Expect-Instance": minion_id}
        self.orders = http.Client(
            address=address,
            kind="minion_order",
            timeout_s=ORDER_TIMEOUT_S,
            connections=connections,
            headers=headers,
        )
        self.polls = http.Client(
            address=address,
            kind="minion_look",
            timeout_s=poll_wait_ms / 1000 + POLL_MARGIN_S,
            connections=1,
            headers=headers,
        )

    def start(
        self, order: minions.StartOrder, may_send: Callable[[], bool]
    ) -> minions.OrderResult:
        """Starts a task.

        Args:
            order: The order.
            may_send: Returns whether it is still to be sent, once there is a
                connection for it.

        Returns:
            The minion's clock in ms.
        """
        body = {
            "task": minions.format_task(order.key),
            "run": order.run,
            "spec": order.payload,
            "deadlineMs": order.deadline_ms,
            "fencingToken": order.token,
        }
        if order.checkpoint:
            body["lastCheckpoint"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        return self._send_order("/run-start", body, may_send)

    def stop(
        self, key: steps.TaskKey, run: int, token: int
    ) -> minions.OrderResult:
        """Stops a run, also one whose start order has not arrived yet."""
        body = {
            "task": minions.format_task(key),
            "run": run,
            "fencingToken": token,
        }
        return self._send_order("/run-stop", body)

    def pace(
        self, key: steps.TaskKey, run: int, percent: int, token: int
    ) -> minions.OrderResult:
        """Limits a run to a percentage of its full speed."""
        body = {
            "task": minions.format_task(key),
            "run": run,
            "percent": percent,
            "fencingToken": token,
        }
        return self._send_order("/pace", body)

    def poll(
        self,
        *,
        token: int,
        acknowledged: int,
        deadline_ms: int | None,
        wait_ms: int,
        immediate: bool = False,
    ) -> result.Result[minions.PollReply, minions.OrderFailure]:
        """Renews the lease and reads running tasks and ends.

        Args:
            token: Fencing token.
            acknowledged: Ends up to this number are acknowledged, so that
                the minion may delete them.
            deadline_ms: New end of the lease on the minion's clock; None
                leaves the lease as it is.
            wait_ms: How long the minion may wait for an end, at most
                `poll_wait_ms`; 0 for an immediate reply.
            immediate: Whether the call times out after ORDER_TIMEOUT_S.
        """
        body: dict[str, int] = {"fencingToken": token, "lastSeen": acknowledged}
        if deadline_ms is not None:
            body["deadlineMs"] = deadline_ms
        if wait_ms:
            body["waitMs"] = wait_ms
        client = self.orders if immediate else self.polls
        call_result = client.call("POST", "/hold", body)
        return call_result.lash(_convert_failure).bind(_parse_poll_reply)

    def _send_order(
        self,
        path: str,
        body: dict,
        may_send: Callable[[], bool] = lambda: True,
    ) -> minions.OrderResult:
        return (
            self.orders.call("POST", path, body, may_send=may_send)
            .lash(_convert_failure)
            .bind(_parse_order)
        )

    def close(self) -> None:
        """Closes the connections to the minion."""
        self.orders.close()
        self.polls.close()


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


def _parse_poll_reply(
    answer: http.Answer,
) -> result.Result[minions.PollReply, minions.OrderFailure]:
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
    except (
        ArithmeticError,
        AttributeError,
        LookupError,
        TypeError,
        ValueError,
    ) as error:
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
