"""Which of a minion's numbered ends were listed and may be acknowledged."""

from __future__ import annotations

from collections.abc import Iterable
import logging

from gevent import event as gevent_event

from hickoryreach.platform import minions

log = logging.getLogger(__name__)


class EndNumbers:
    """Numbers of the ends of one incarnation of a minion.

    Attributes:
        last: Number of the last end that was taken.
        acknowledged: Ends up to this number are acknowledged with the next
            poll.
        unsettled: Numbers of taken ends that may not be acknowledged yet.
        all_settled: Set once no taken end is unsettled; cleared by each reply.
        from_first: Whether all ends of the incarnation are listed here, and
            none was to an earlier owner.
        incomplete: Whether the last reply had no room for all ends.
    """

    def __init__(self, *, minion_id: str) -> None:
        """Knows no end of a minion."""
        self.minion_id = minion_id
        self.last = 0
        self.acknowledged = 0
        self.unsettled: set[int] = set()
        self.all_settled = gevent_event.Event()
        self.from_first = False
        self.incomplete = False

    def begin(self, *, from_first: bool) -> None:
        """Begins with the ends of another incarnation.

        Args:
            from_first: Whether all of its ends are listed here.
        """
        self.last = self.acknowledged = 0
        self.unsettled.clear()
        self.from_first = from_first

    def take(
        self, ends: Iterable[minions.TaskEnd]
    ) -> tuple[minions.TaskEnd, ...]:
        """Returns the ends of a reply that were not taken before."""
        ends = tuple(ends)
        self._log_missed(ends)
        self._update_incomplete(len(ends) >= minions.MAX_LISTED_ENDS)
        new_ends = tuple(end for end in ends if end.number > self.last)
        for end in new_ends:
            self.last = max(self.last, end.number)
            self.unsettled.add(end.number)
        self.all_settled.clear()
        return new_ends

    def count_missed(self, ends: Iterable[minions.TaskEnd]) -> int:
        """Returns how many ends were deleted before they were listed here.

        Args:
            ends: What the minion lists, before it is taken.
        """
        numbers = [end.number for end in ends if end.number > self.last]
        if not numbers or not (self.last or self.from_first):
            return 0
        return min(numbers) - self.last - 1

    def _log_missed(self, ends: tuple[minions.TaskEnd, ...]) -> None:
        missed = self.count_missed(ends)
        if missed:
            log.warning(
                "ends_missed",
                extra={
                    "minion": self.minion_id,
                    "last": self.last,
                    "missed": missed,
                },
            )

    def _update_incomplete(self, incomplete: bool) -> None:
        if incomplete != self.incomplete:
            log.info(
                "ends_incomplete" if incomplete else "ends_complete",
                extra={"minion": self.minion_id, "last": self.last},
            )
        self.incomplete = incomplete

    def settle(self, number: int) -> None:
        """Allows the next poll to acknowledge an end."""
        self.unsettled.discard(number)
        if self.unsettled:
            self.acknowledged = min(self.unsettled) - 1
        else:
            self.acknowledged = self.last
            self.all_settled.set()
