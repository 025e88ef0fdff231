"""A connection to one incarnation of a minion."""

from collections.abc import Callable
import logging

from returns import result

from hickoryreach.platform import connections
from hickoryreach.platform import http
from hickoryreach.platform import minion_replies
from hickoryreach.platform import minions

log = logging.getLogger(__name__)

POLL_PATH = "/hold"


class MinionConnection:
    """A connection to one incarnation of a minion.

    A minion may restart under its id and address, and no order names the
    incarnation that it is meant for. A poll that is harmless to any of them is
    therefore the first call over each new connection; its reply tells which one
    is at the other end.

    Attributes:
        minion_id: Id of the minion.
        connection: The connection.
        incarnation: Incarnation at its other end; None if not known.
    """

    def __init__(
        self, *, minion_id: str, connection: connections.Connection
    ) -> None:
        """Takes a connection that is not open yet."""
        self.minion_id = minion_id
        self.connection = connection
        self.incarnation: int | None = None

    def call(self, path: str, body: dict) -> http.CallResult:
        """Makes a call that is harmless to any incarnation."""
        if self.incarnation is not None:
            call_result = self.call_incarnation(path, body)
            if not is_unconnected(call_result):
                return call_result
        return self._note(self.connection.call("POST", path, body))

    def call_incarnation(
        self,
        path: str,
        body: dict,
        may_send: Callable[[], bool] = lambda: True,
    ) -> http.CallResult:
        """Makes a call that only the incarnation at the other end gets."""
        return self._note(
            self.connection.call_open("POST", path, body, may_send=may_send)
        )

    def _note(self, call_result: http.CallResult) -> http.CallResult:
        """Forgets who is at the other end of a connection that is broken."""
        if isinstance(call_result, result.Failure):
            self.incarnation = None
        return call_result

    def introduce(self, token: int) -> minions.PollResult:
        """Polls whoever is at the other end, without any other effect.

        Args:
            token: Fencing token.
        """
        body = {"fencingToken": token, "lastSeen": 0}
        return self._read_reply(self.call(POLL_PATH, body))

    def disconnect_others(self, incarnation: int) -> None:
        """Closes a connection to another incarnation."""
        if self.incarnation not in (None, incarnation):
            self.connection.disconnect()
            self.incarnation = None

    def poll(self, incarnation: int, body: dict) -> minions.PollResult:
        """Polls an incarnation; one that is not known to be it is introduced.

        Args:
            incarnation: Incarnation that the body is meant for.
            body: Body of the poll.
        """
        self.disconnect_others(incarnation)
        if self.incarnation == incarnation:
            call_result = self.call_incarnation(POLL_PATH, body)
            if not is_unconnected(call_result):
                return self._read_reply(call_result)
        return self.introduce(body["fencingToken"])

    def _read_reply(self, call_result: http.CallResult) -> minions.PollResult:
        poll_result = minion_replies.parse_poll(call_result)
        if isinstance(poll_result, result.Success):
            self._identify(poll_result.unwrap().incarnation)
        return poll_result

    def _identify(self, incarnation: int) -> None:
        if self.incarnation not in (None, incarnation):
            log.warning(
                "connection_outlived_incarnation",
                extra={
                    "minion": self.minion_id,
                    "previous": self.incarnation,
                    "incarnation": incarnation,
                },
            )
        self.incarnation = incarnation

    def close(self) -> None:
        """Sends no further call."""
        self.connection.close()


def is_unconnected(call_result: http.CallResult) -> bool:
    """Returns whether a call was not sent for want of an open connection."""
    return (
        isinstance(call_result, result.Failure)
        and call_result.failure().not_connected
    )
