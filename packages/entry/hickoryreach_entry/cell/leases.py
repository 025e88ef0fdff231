"""What is known of a minion's clock, and how long its lease may last."""

from __future__ import annotations

import dataclasses

from hickoryreach_entry import clock

CLOCK_DRIFT = 0.02
EXPIRY_MARGIN_MS = 100


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Terms:
    """Fencing token and lease lengths that an owner's orders carry.

    Attributes:
        token: Fencing token.
        lease_ms: Length of a minion's lease; 0 while no lease is renewed.
        hold_limit_ms: Longest lease that a minion accepts.
    """

    token: int
    lease_ms: int
    hold_limit_ms: int


class Lease:
    """Lease of a minion, on the clock of its present incarnation.

    Attributes:
        clock_ms: Its clock when it last answered a poll.
        read_ms: When that was, on the clock of this process; 0 if it never was.
        deadline_ms: Latest time on its clock at which the lease may end.
    """

    def __init__(self) -> None:
        """Knows no clock and no lease."""
        self.clock_ms = 0
        self.read_ms = 0
        self.deadline_ms = 0

    @property
    def is_known(self) -> bool:
        """Whether the minion has answered a poll."""
        return bool(self.read_ms)

    def begin(self, clock_ms: int, unknown_ms: int) -> None:
        """Begins the lease of another incarnation.

        Args:
            clock_ms: Its clock.
            unknown_ms: How long orders that are not known here may hold it.
        """
        self.deadline_ms = clock_ms + unknown_ms

    def read_clock(self, clock_ms: int) -> None:
        """Records what the clock says now."""
        self.clock_ms = clock_ms
        self.read_ms = clock.now_ms()

    def estimate_clock(self) -> int:
        """Returns a lower bound of the time on the minion's clock, in ms."""
        elapsed_ms = clock.now_ms() - self.read_ms
        return self.clock_ms + int(elapsed_ms * (1 - CLOCK_DRIFT))

    def extend(self, lease_ms: int) -> int:
        """Returns the deadline, on the minion's clock, that an order carries.

        Args:
            lease_ms: How long the order is to hold the lease from now on.
        """
        deadline_ms = self.estimate_clock() + lease_ms
        self.deadline_ms = max(self.deadline_ms, deadline_ms)
        return deadline_ms

    def is_expired(self) -> bool:
        """Returns whether it is over even with maximal clock drift."""
        return (
            self.is_known
            and self.estimate_clock() > self.deadline_ms + EXPIRY_MARGIN_MS
        )

    def get_remaining_ms(self) -> int:
        """Returns how long it may still last, in ms of this process's clock."""
        left_ms = self.deadline_ms + EXPIRY_MARGIN_MS - self.estimate_clock()
        return max(0, int(left_ms / (1 - CLOCK_DRIFT)))
