"""Client of the HTTP interface through which minions run tasks."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import time

from gevent import queue
from returns import result

from hickoryreach.platform import connections
from hickoryreach.platform import minion_connection
from hickoryreach.platform import minion_replies
from hickoryreach.platform import minions
from hickoryreach.structure import steps

ORDER_TIMEOUT_S = 0.4
POLL_MARGIN_S = 0.35
CONNECTION_ATTEMPTS = 2


class MinionClient:
    """Client of one minion.

    Attributes:
        minion_id: Id of the minion; a minion with another id refuses the
            call.
        address: `host:port` of the minion.
        on_introduced: Called with each reply to a poll that was made for an
            order, over a new connection, and the ms since it was sent.
        polls: Connection for polls that wait for an end.
        orders: Connections for orders and immediate polls.
        free_orders: Those of them that no call uses.
    """

    def __init__(
        self,
        *,
        minion_id: str,
        address: str,
        poll_wait_ms: int,
        on_introduced: Callable[[minions.PollReply, int], None],
        order_connections: int = 4,
    ) -> None:
        """Creates a client without opening a connection.

        Args:
            minion_id: Id of the minion.
            address: `host:port` of the minion.
            poll_wait_ms: Longest wait of a poll, at most 2,000 ms.
            on_introduced: Called with each reply to a poll that was made for
                an order, and the ms since it was sent.
            order_connections: Maximum number of concurrent orders.
        """
        self.minion_id = minion_id
        self.address = address
        self.on_introduced = on_introduced
        self.polls = self.build_connection(
            "minion_look", poll_wait_ms / 1000 + POLL_MARGIN_S
        )
        self.orders = [
            self.build_connection("minion_order", ORDER_TIMEOUT_S)
            for _ in range(order_connections)
        ]
        self.free_orders = queue.LifoQueue(items=list(self.orders))

    def build_connection(
        self, kind: str, timeout_s: float
    ) -> minion_connection.MinionConnection:
        """Returns a connection that is not open yet."""
        return minion_connection.MinionConnection(
            minion_id=self.minion_id,
            connection=connections.Connection(
                address=self.address,
                kind=kind,
                timeout_s=timeout_s,
                headers={"Expect-Instance": self.minion_id},
            ),
        )

    @contextlib.contextmanager
    def borrow(self) -> Iterator[minion_connection.MinionConnection]:
        """Takes a connection for one order, once there is a free one."""
        connection = self.free_orders.get()
        try:
            yield connection
        finally:
            self.free_orders.put(connection)

    def start(
        self, order: minions.StartOrder, may_send: Callable[[], bool]
    ) -> minions.OrderResult:
        """Starts a task on the incarnation that the order is meant for.

        Args:
            order: The order.
            may_send: Returns whether it is still to be sent, once there is a
                connection for it.

        Returns:
            The minion's clock in ms.
        """
        with self.borrow() as connection:
            for _ in range(CONNECTION_ATTEMPTS):
                failure = self.connect(connection, order)
                if failure is not None:
                    return result.Failure(failure)
                call_result = connection.call_incarnation(
                    "/run-start", build_start(order), may_send
                )
                if not minion_connection.is_unconnected(call_result):
                    break
        return minion_replies.parse_order(call_result)

    def connect(
        self,
        connection: minion_connection.MinionConnection,
        order: minions.StartOrder,
    ) -> minions.OrderFailure | None:
        """Connects to the incarnation that an order is meant for.

        Returns:
            Why the order can't be sent, or None.
        """
        connection.disconnect_others(order.incarnation)
        if connection.incarnation is None:
            sent_at = time.monotonic()
            poll_result = connection.introduce(order.token)
            if isinstance(poll_result, result.Failure):
                failure = poll_result.failure()
                return minions.OrderFailure(
                    reason=failure.reason, refusal=failure.refusal
                )
            elapsed_ms = int((time.monotonic() - sent_at) * 1000)
            self.on_introduced(poll_result.unwrap(), elapsed_ms)
        if connection.incarnation != order.incarnation:
            return minions.OrderFailure(
                reason="other_incarnation",
                refusal=minions.Refusal.OTHER_INCARNATION,
            )
        return None

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
        incarnation: int,
        acknowledged: int,
        deadline_ms: int | None,
        wait_ms: int,
        immediate: bool = False,
    ) -> minions.PollResult:
        """Renews the lease and reads running tasks and ends.

        Over a new connection, or if another incarnation is at its other end, no
        lease is renewed and no end acknowledged.

        Args:
            token: Fencing token.
            incarnation: Incarnation of which deadline and number are; 0 if it
                is not known.
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
        if not immediate:
            return self.polls.poll(incarnation, body)
        with self.borrow() as connection:
            return connection.poll(incarnation, body)

    def _send_order(self, path: str, body: dict) -> minions.OrderResult:
        with self.borrow() as connection:
            return minion_replies.parse_order(connection.call(path, body))

    def close(self) -> None:
        """Closes the connections to the minion."""
        for connection in (self.polls, *self.orders):
            connection.close()


def build_start(order: minions.StartOrder) -> dict:
    """Returns the body of a start order."""
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
    return body
