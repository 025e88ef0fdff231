"""The way to one minion: its lease, its lists and orders to it."""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import logging

import gevent
from gevent import event as gevent_event
from returns import result

from hickoryreach.platform import minions
from hickoryreach.scheduling import events
from hickoryreach.structure import cells
from hickoryreach_entry.cell import clock
from hickoryreach_entry.cell import metrics
from hickoryreach_entry.cell import orders

log = logging.getLogger(__name__)

LEASE_MS = 4_000
PREVIOUS_OWNER_LEASE_MS = LEASE_MS  # an earlier owner's last lease
POLL_WAIT_MS = 600
POLLS_PER_LEASE = 4
SETTLE_WAIT_S = 0.1
RETRY_S = 0.2
CLOCK_DRIFT = 0.02
LAPSE_MARGIN_MS = 100
UNSEEN_MS = 1_500


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Terms:
    """Under which terms an owner gives orders.

    Attributes:
        token: Fencing token.
        lease_ms: Length of a minion's lease; 0 while none is renewed.
        hold_limit_ms: Longest lease that a minion takes.
    """

    token: int
    lease_ms: int
    hold_limit_ms: int


class MinionLink:
    """Renews a minion's lease, reads its lists and carries orders.

    Attributes:
        minion: The minion.
        incarnation: Present life of the minion, in ms since 1970.
        passed: Number of the last end that was handed on.
        settled: Ends up to this number may be acknowledged.
        deadline_ms: Latest deadline sent, on the minion's clock.
        looked: Set once it has listed what runs.
        tried: Set once it was asked.
        orders: Orders to it.
        silent: Whether its last call was not answered.
        lapsed: Whether nothing can run there until it answers.
        removed: Whether its registration is gone.
    """

    def __init__(
        self,
        *,
        minion: cells.Minion,
        get_terms: Callable[[], Terms],
        emit: Callable[[events.Event], None],
        on_fenced: Callable[[str], None],
        previous: MinionLink | None = None,
    ) -> None:
        """Begins to look after a minion.

        Args:
            minion: The minion.
            get_terms: Returns the terms of orders.
            emit: Takes what is learned.
            on_fenced: Told of a later owner's token.
            previous: Link to the address that the minion had before; what ran
                there is over by its lease also if nobody answers here.
        """
        self.minion = minion
        self.get_terms = get_terms
        self.emit = emit
        self.on_fenced = on_fenced
        self.client = minions.MinionClient(
            minion_id=minion.minion_id,
            address=minion.address,
            poll_wait_ms=POLL_WAIT_MS,
        )
        self.begun_ms = clock.now_ms()
        self.incarnation = 0
        self.clock_ms = 0
        self.clock_read_ms = 0
        self.deadline_ms = 0
        self.passed = 0
        self.acknowledged = 0
        self.unsettled: set[int] = set()
        self.settling = gevent_event.Event()
        self.polled = gevent_event.Event()
        self.poll_attempted = gevent_event.Event()
        self.silent = True
        self.lapsed = False
        self.removed = False
        self.stopped = False
        self.polling_now = False
        self.orders = orders.OrderSender(link=self)
        if previous is not None:
            self.incarnation = previous.incarnation
            self.clock_ms = previous.clock_ms
            self.clock_read_ms = previous.clock_read_ms
            self.deadline_ms = previous.deadline_ms
            self.lapsed = previous.lapsed
        self.greenlet = gevent.spawn(self.poll_forever)

    def estimate_clock(self) -> int:
        """Returns a lower bound of the minion's clock, in ms."""
        elapsed_ms = clock.now_ms() - self.clock_read_ms
        return self.clock_ms + int(elapsed_ms * (1 - CLOCK_DRIFT))

    def poll_forever(self) -> None:
        """Renews the lease and hands on what the minion lists.

        A minion is silent when a second look that does not wait is not
        answered either: single answers are lost.
        """
        while not self.stopped:
            looked, sent_ms = self.poll(immediate=self.silent)
            if not self.silent and is_unanswered(looked):
                looked, sent_ms = self.poll(immediate=True)
            if self.stopped:
                return
            if isinstance(looked, result.Success):
                look = looked.unwrap()
                self.handle_poll_reply(look, sent_ms)
                if look.ends:
                    self.settling.wait(SETTLE_WAIT_S)
            else:
                self.take_failure(looked.failure())
            self.poll_attempted.set()

    def poll(
        self, *, immediate: bool
    ) -> tuple[result.Result[minions.PollReply, minions.OrderFailure], int]:
        """Asks once for the lists; returns them and when they were asked for.

        Args:
            immediate: Whether not to wait for an end.
        """
        terms = self.get_terms()
        deadline_ms = None
        if self.clock_read_ms and not self.silent and terms.lease_ms:
            deadline_ms = self.estimate_clock() + terms.lease_ms
            self.deadline_ms = max(self.deadline_ms, deadline_ms)
        sent_ms = clock.now_ms()
        looked = self.client.poll(
            token=terms.token,
            acknowledged=self.acknowledged,
            deadline_ms=deadline_ms,
            wait_ms=0 if immediate else self.get_wait_ms(terms.lease_ms),
            immediate=immediate,
        )
        return looked, sent_ms

    def poll_now(self) -> None:
        """Asks for the lists beside a look that waits for an end."""
        if not self.polling_now and not self.silent:
            self.polling_now = True
            gevent.spawn(self._poll_now)

    def _poll_now(self) -> None:
        try:
            looked, sent_ms = self.poll(immediate=True)
            if isinstance(looked, result.Success) and not self.stopped:
                self.handle_poll_reply(looked.unwrap(), sent_ms)
        finally:
            self.polling_now = False

    def get_wait_ms(self, lease_ms: int) -> int:
        """Returns how long a look may wait for an end."""
        return min(POLL_WAIT_MS, (lease_ms or LEASE_MS) // POLLS_PER_LEASE)

    def handle_poll_reply(self, look: minions.PollReply, sent_ms: int) -> None:
        """Hands on what is new in a minion's lists.

        Lists older than the last, by the minion's clock, are left out.
        """
        if (
            look.incarnation == self.incarnation
            and look.clock_ms < self.clock_ms
        ):
            return
        if self.silent:
            log.info(
                "minion_reached",
                extra={
                    "minion": self.minion.minion_id,
                    "life": look.incarnation,
                },
            )
        if look.incarnation != self.incarnation:
            self.incarnation = look.incarnation
            self.passed = self.acknowledged = 0
            self.deadline_ms = look.clock_ms + self.get_unknown_lease_ms(look)
            self.unsettled.clear()
        self.silent = self.lapsed = False
        self.clock_ms = look.clock_ms
        self.clock_read_ms = clock.now_ms()
        fresh = tuple(end for end in look.ends if end.number > self.passed)
        for end in fresh:
            self.passed = max(self.passed, end.number)
            self.unsettled.add(end.number)
            metrics.task_ends.labels(str(end.kind)).inc()
        self.settling.clear()
        self.emit(
            events.MinionPolled(
                minion_id=self.minion.minion_id,
                reply=dataclasses.replace(look, ends=fresh),
                sent_ms=sent_ms,
            )
        )
        self.polled.set()

    def get_unknown_lease_ms(self, look: minions.PollReply) -> int:
        """Returns how long orders unknown to this link may have leased.

        A deadline that was meant for the life before lies far ahead of a
        young clock, and is cut to the longest lease.
        """
        limit_ms = self.get_terms().hold_limit_ms
        return limit_ms if look.clock_ms < limit_ms else PREVIOUS_OWNER_LEASE_MS

    def take_failure(self, failure: minions.OrderFailure) -> None:
        """Notes that the minion did not answer as it should."""
        if failure.refusal is minions.Refusal.FENCED:
            self.on_fenced(self.minion.minion_id)
            gevent.sleep(RETRY_S)
            return
        if not self.silent:
            log.warning(
                "minion_silent",
                extra={
                    "minion": self.minion.minion_id,
                    "reason": failure.reason,
                },
            )
        self.silent = True
        self.emit(events.MinionUnreachable(minion_id=self.minion.minion_id))
        if failure.refusal is minions.Refusal.OTHER_INCARNATION:
            self.report_expiry("other_life")
        elif self.is_expired():
            self.report_expiry("lease")
        gevent.sleep(RETRY_S)

    def is_expired(self) -> bool:
        """Returns whether nothing can run on the minion by any clock."""
        return (
            bool(self.clock_read_ms)
            and self.estimate_clock() > self.deadline_ms + LAPSE_MARGIN_MS
        )

    def get_remaining_ms(self) -> int:
        """Returns how long something may still run there, in ms.

        A minion that was never reached may run what an earlier owner
        started, for as long as a whole lease.
        """
        if self.lapsed:
            return 0
        if not self.clock_read_ms:
            age_ms = clock.now_ms() - self.begun_ms
            return max(0, PREVIOUS_OWNER_LEASE_MS + UNSEEN_MS - age_ms)
        left_ms = self.deadline_ms + LAPSE_MARGIN_MS - self.estimate_clock()
        return max(0, int(left_ms / (1 - CLOCK_DRIFT)))

    def report_expiry(self, cause: str) -> None:
        """Tells once that nothing runs on the minion any more."""
        if self.lapsed or not self.clock_read_ms:
            return
        self.lapsed = True
        log.warning(
            "minion_lapsed",
            extra={
                "minion": self.minion.minion_id,
                "cause": cause,
                "deadline_ms": self.deadline_ms,
                "clock_ms": self.estimate_clock(),
            },
        )
        self.emit(events.LeaseExpired(minion_id=self.minion.minion_id))

    def acknowledge_end(self, incarnation: int, number: int) -> None:
        """Notes that an end may be acknowledged."""
        if incarnation != self.incarnation:
            return
        self.unsettled.discard(number)
        if self.unsettled:
            self.acknowledged = min(self.unsettled) - 1
        else:
            self.acknowledged = self.passed
            self.settling.set()

    def close(self) -> None:
        """Stops looking after the minion."""
        self.stopped = True
        self.greenlet.kill(block=False)
        self.client.close()


def is_unanswered(
    looked: result.Result[minions.PollReply, minions.OrderFailure],
) -> bool:
    """Returns whether a look had no answer at all."""
    return (
        isinstance(looked, result.Failure) and looked.failure().refusal is None
    )
