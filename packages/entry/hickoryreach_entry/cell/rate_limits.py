"""Limits of how often something is done for each workspace."""

import time

BURST_S = 10.0


class RateLimit:
    """Limit of a rate, kept for each name by itself.

    A name that has not used its rate may use that of `BURST_S` at once.

    Attributes:
        per_s: The rate, per second.
        used: Uses not made up for yet and when that was, on the monotonic
            clock in s, by name; only for names that have any.
    """

    def __init__(self, *, per_s: float) -> None:
        """Creates a limit that nobody has used."""
        self.per_s = per_s
        self.used: dict[str, tuple[float, float]] = {}

    def consume(self, name: str) -> bool:
        """Counts one use; returns whether it is within the limit."""
        now = time.monotonic()
        uses, at = self.used.get(name, (0.0, now))
        uses = max(0.0, uses - (now - at) * self.per_s)
        allowed = uses + 1 <= max(1.0, self.per_s * BURST_S)
        self.used[name] = (uses + allowed, now)
        return allowed
