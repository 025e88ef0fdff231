"""Open connections of clients, bounded in number and in memory."""

import collections
import enum
import socket
import time

import gevent
from gevent import event as gevent_event

from hickoryreach_entry import http_refusals
from hickoryreach_entry import metrics

TURN_PAUSE_S = 0.001


class Activity(enum.Enum):
    """What a connection is doing."""

    WAITING = enum.auto()
    READING = enum.auto()
    ANSWERING = enum.auto()
    WRITING = enum.auto()


class Connection:
    """One connection of a client.

    Attributes:
        socket: Its socket.
        activity: What it is doing.
        served: Whether a request of it has been answered.
        active_at: When it was opened or last answered, monotonic, in s.
        held_bytes: Bytes read of the present request.
        turn: Set once it may go on, while it waits for its turn.
        closed_for: Why this process closed it, or None.
    """

    def __init__(self, *, connected: socket.socket) -> None:
        """Creates a connection that has sent nothing yet."""
        self.socket = connected
        self.activity = Activity.WAITING
        self.served = False
        self.active_at = time.monotonic()
        self.held_bytes = 0
        self.turn = gevent_event.Event()
        self.closed_for: http_refusals.Reason | None = None

    def is_closable(self) -> bool:
        """Returns whether it may be closed, as no request of it is at work."""
        return self.activity is not Activity.ANSWERING

    def get_rank(self) -> tuple[bool, float]:
        """Returns a key that sorts connections; the first is closed first.

        Clients that are between two requests, and have been served before,
        come behind all that have yet to complete one.
        """
        is_idle = self.served and self.activity is Activity.WAITING
        return is_idle, self.active_at

    def end_request(self) -> None:
        """Notes that a request has been answered."""
        self.served = True
        self.active_at = time.monotonic()

    def close(self, reason: http_refusals.Reason) -> None:
        """Closes it; whoever reads from or writes to it gets an error."""
        self.closed_for = reason
        self.socket.close()
        self.turn.set()


class Turns:
    """Lets one connection go on in each pass of the event loop.

    Attributes:
        waiting: Connections that wait for their turn, the first one first.
    """

    def __init__(self) -> None:
        """Starts without a connection."""
        self.waiting: collections.deque[Connection] = collections.deque()
        self.greenlet: gevent.Greenlet | None = None

    def take(self, connection: Connection) -> None:
        """Waits for a connection's turn.

        Raises:
            RequestRefusedError: The connection has been closed meanwhile.
        """
        connection.turn.clear()
        self.waiting.append(connection)
        if self.greenlet is None:
            self.greenlet = gevent.spawn(self._give_turns)
        connection.turn.wait()
        if connection.closed_for is not None:
            raise http_refusals.RequestRefusedError(
                reason=connection.closed_for
            )

    def _give_turns(self) -> None:
        while self.waiting:
            gevent.sleep(TURN_PAUSE_S)
            self._give_turn()
        self.greenlet = None

    def _give_turn(self) -> None:
        """Lets the first connection go on that has not been closed."""
        while self.waiting:
            connection = self.waiting.popleft()
            if not connection.turn.is_set():
                connection.turn.set()
                return


class ClientShare:
    """What the connections of all listeners of a process share.

    Attributes:
        max_held_bytes: Most bytes held for requests at a time.
        held_bytes: Bytes held now.
        connections: All open connections.
        turns: Gives turns to the connections that send without a pause.
    """

    def __init__(self, *, max_held_bytes: int) -> None:
        """Creates a share of which nothing is taken."""
        self.max_held_bytes = max_held_bytes
        self.held_bytes = 0
        self.connections: set[Connection] = set()
        self.turns = Turns()

    def hold(self, connection: Connection, count: int) -> None:
        """Counts bytes that were read.

        When there are too many, the connection that holds the most is closed.

        Raises:
            RequestRefusedError: That connection is this one.
        """
        connection.held_bytes += count
        self.held_bytes += count
        while self.held_bytes > self.max_held_bytes:
            largest = max(
                (
                    each
                    for each in self.connections
                    if each is connection or each.is_closable()
                ),
                key=lambda each: each.held_bytes,
            )
            self.release(largest)
            if largest is connection:
                raise http_refusals.RequestRefusedError(
                    reason=http_refusals.Reason.MEMORY
                )
            largest.close(http_refusals.Reason.MEMORY)

    def release(self, connection: Connection) -> None:
        """Gives up what is held for a connection's request."""
        self.held_bytes -= connection.held_bytes
        connection.held_bytes = 0


class ConnectionTable:
    """The open connections of one listener.

    Attributes:
        name: Name of the listener.
        max_connections: Most connections at a time.
        share: What all listeners share.
        connections: The open connections.
    """

    def __init__(
        self, *, name: str, max_connections: int, share: ClientShare
    ) -> None:
        """Creates a table without a connection."""
        self.name = name
        self.max_connections = max_connections
        self.share = share
        self.connections: set[Connection] = set()
        self.gauge = metrics.http_connections.labels(name)

    def admit(self, connection: Connection) -> bool:
        """Adds a connection, if need be in the place of another one.

        Returns:
            Whether there was a place.
        """
        if len(self.connections) >= self.max_connections:
            closable = filter(Connection.is_closable, self.connections)
            longest = min(closable, key=Connection.get_rank, default=None)
            if longest is None:
                return False
            self.remove(longest)
            longest.close(http_refusals.Reason.CONNECTIONS)
        self.connections.add(connection)
        self.share.connections.add(connection)
        self.gauge.set(len(self.connections))
        return True

    def remove(self, connection: Connection) -> None:
        """Removes a connection that has ended, if it is still there."""
        self.connections.discard(connection)
        self.share.connections.discard(connection)
        self.share.release(connection)
        self.gauge.set(len(self.connections))
