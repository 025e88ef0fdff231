"""Open connections of clients, bounded in number and in memory."""

import enum
import socket
import time

import gevent
from gevent import lock

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
        closed_for: Why this process closed it, or None.
    """

    def __init__(self, *, connected: socket.socket) -> None:
        """Creates a connection that has sent nothing yet."""
        self.socket = connected
        self.activity = Activity.WAITING
        self.served = False
        self.active_at = time.monotonic()
        self.closed_for: http_refusals.Reason | None = None

    def is_closable(self) -> bool:
        """Returns whether closing it ends no request that may have run."""
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


class ClientShare:
    """What the connections of all listeners of a process share.

    Attributes:
        turns: Held by the connection whose turn it is.
    """

    def __init__(self) -> None:
        """Creates a share of which nothing is taken."""
        self.turns = lock.BoundedSemaphore(1)

    def take_turn(self) -> None:
        """Lets everything else run that is ready; one connection at a time."""
        with self.turns:
            gevent.sleep(TURN_PAUSE_S)


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
        self.gauge.set(len(self.connections))
        return True

    def remove(self, connection: Connection) -> None:
        """Removes a connection that has ended, if it is still there."""
        self.connections.discard(connection)
        self.gauge.set(len(self.connections))
