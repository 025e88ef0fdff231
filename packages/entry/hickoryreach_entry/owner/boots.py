"""A worker's boot, and its clock as its owner knows it."""

import dataclasses

from hickoryreach_entry.owner import grants

MILLISECONDS = 1000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Boot:
    """A worker's boot and its clock, as of one reply.

    Attributes:
        boot_id: The boot.
        clock_ms: The worker's clock when it replied.
        received: Owner's time, in s, when the reply had come.
    """

    boot_id: str
    clock_ms: int
    received: float

    def translate(self, until: float) -> int:
        """Returns a worker time, in ms, that is not after `until`."""
        ahead_s = max(0.0, until - self.received)
        return int(self.clock_ms + grants.shorten(ahead_s) * MILLISECONDS)
