"""What the connections of clients share."""

import gevent
from gevent import lock

TURN_PAUSE_S = 0.001


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
