"""Moving average of the load that pieces of work cause."""

import math
import time


class MovingLoad:
    """Average load of late; work counts less the longer ago it was added.

    Attributes:
        window_s: Time after which work counts by a factor of e less, in s.
        value: The load when it was last updated: seconds of work per second.
        updated_at: When that was, on the monotonic clock in s.
    """

    def __init__(self, *, window_s: float) -> None:
        """Creates an average without any load."""
        self.window_s = window_s
        self.value = 0.0
        self.updated_at = time.monotonic()

    def add(self, work_s: float) -> None:
        """Adds a piece of work, in s."""
        self.value = self.read() + work_s / self.window_s

    def read(self) -> float:
        """Returns the load, in seconds of work per second."""
        now = time.monotonic()
        elapsed_s = now - self.updated_at
        self.value *= math.exp(-elapsed_s / self.window_s)
        self.updated_at = now
        return self.value
