"""Link to one minion: lease renewal, polling and orders."""

from __future__ import annotations

from collections.abc import Callable
import copy
import dataclasses
import logging

import gevent
from gevent import event as gevent_event
from returns import result

from hickoryreach.platform import minion_client
from hickoryreach.platform import minions
from hickoryreach.scheduling import events
from hickoryreach.structure import cells
from hickoryreach_entry import clock
from hickoryreach_entry.cell import end_numbers
from hickoryreach_entry.cell import leases
from hickoryreach_entry.cell import metrics
from hickoryreach_entry.cell import orders
from hickoryreach_entry.cell import ownership_scope

log = logging.getLogger(__name__)

LEASE_MS = 4_000
DRAINING_LEASE_MS = 2_000
PREVIOUS_OWNER_LEASE_MS = LEASE_MS  # last lease given by an earlier owner
POLL_WAIT_MS = 600
POLLS_PER_LEASE = 4
ACKNOWLEDGE_WAIT_S = 0.1
RETRY_S = 0.2
MAX_FENCED_PAUSE_S = 1.6
UNREACHED_MARGIN_MS = 1_500


class MinionLink:
    """Renews a minion's lease, polls it and sends it orders.

    Attributes:
        minion: The minion.
        incarnation: Start of the minion's present incarnation, in ms since
            1970.
        incarnation_known_ms: When that one first answered a poll.
        ends: Which of its ends were listed and may be acknowledged.
        lease: Its lease and its clock.
        polled: Set once the minion has listed all that runs there and all of
            its ends; what it lists nowhere does not exist.
        poll_attempted: Set once a poll was answered or failed.
        orders: Sender of orders to the minion.
        silent: Whether the minion did not answer the last call.
        lapsed: Whether its lease has expired, so that nothing can run there
            until it answers.
        removed: Whether its registration is gone.
        fenced_pause_s: Pause after the next poll refused for its token, in s.
    """

    def __init__(
        self,
        *,
        scope: ownership_scope.OwnershipScope,
        minion: cells.Minion,
        get_terms: Callable[[], leases.Terms],
        emit: Callable[[events.Event], None],
        on_fenced: Callable[[str], None],
        on_lapsed: Callable[[MinionLink], None],
        previous: MinionLink | None = None,
    ) -> None:
        """Starts polling a minion.

        Args:
            scope: The ownership to which the link belongs.
            minion: The minion.
            get_terms: Returns the terms for orders.
            emit: Receives events.
            on_fenced: Called when the minion knows a later owner's token.
            on_lapsed: Called with this link when the lease has expired.
            previous: Link to the minion's previous address. Its lease is
                taken over, so that runs there count as ended when it expires
                even if the new address never answers.
        """
        self.scope = scope
        self.minion = minion
        self.get_terms = get_terms
        self.emit = emit
        self.on_fenced = on_fenced
        self.on_lapsed = on_lapsed
        self.client = minion_client.MinionClient(
            minion_id=minion.minion_id,
            address=minion.address,
            poll_wait_ms=POLL_WAIT_MS,
            on_introduced=self.handle_introduction,
        )
        self.created_ms = clock.now_ms()
        self.incarnation = 0
        self.incarnation_known_ms = 0
        self.lease = leases.Lease()
        self.ends = end_numbers.EndNumbers(minion_id=minion.minion_id)
        self.polled = gevent_event.Event()
        self.poll_attempted = gevent_event.Event()
        self.silent = True
        self.lapsed = False
        self.removed = False
        self.fenced_pause_s = RETRY_S
        self.stopped = False
        self.polling_now = False
        self.orders = orders.OrderSender(link=self)
        if previous is not None:
            self.incarnation = previous.incarnation
            self.incarnation_known_ms = previous.incarnation_known_ms
            self.lease = copy.copy(previous.lease)
            self.lapsed = previous.lapsed
            self.ends.incomplete = previous.ends.incomplete
        self.greenlet = scope.spawn(self.poll_forever)

    @property
    def owes_ends(self) -> bool:
        """Whether ends of earlier owners' runs may still have to be listed.

        Ends that a minion listed only after its lease has expired change
        nothing any more.
        """
        has_ends_left = self.ends.incomplete and not self.lapsed
        return has_ends_left and not self.polled.is_set()

    def poll_forever(self) -> None:
        """Polls the minion until the link is closed."""
        while not self.stopped:
            try:
                self.poll_once()
            except Exception:  # without polls no lease would ever expire
                log.exception(
                    "poll_broken", extra={"minion": self.minion.minion_id}
                )
                self.handle_poll_failure(
                    minions.OrderFailure(reason="broken", effect_unknown=True)
                )
            self.poll_attempted.set()

    def poll_once(self) -> None:
        """Polls the minion and handles its reply or failure.

        A minion counts as silent only if a second, immediate poll is not
        answered either, because single responses get lost.
        """
        poll_result, sent_ms = self.poll(immediate=self.silent)
        if not self.silent and minions.is_unanswered(poll_result):
            poll_result, sent_ms = self.poll(immediate=True)
        if self.stopped:
            return
        if isinstance(poll_result, result.Success):
            reply = poll_result.unwrap()
            self.handle_poll_reply(reply, sent_ms)
            if reply.ends:
                self.ends.all_settled.wait(ACKNOWLEDGE_WAIT_S)
        else:
            self.handle_poll_failure(poll_result.failure())

    def poll(self, *, immediate: bool) -> tuple[minions.PollResult, int]:
        """Polls the minion once, and renews its lease if the terms allow it.

        An immediate poll may reach another incarnation than the last one, and
        acknowledges nothing, as each incarnation numbers its ends anew.

        Args:
            immediate: Whether the minion answers without waiting for an end.

        Returns:
            The result, and when the poll was sent in ms.
        """
        terms = self.get_terms()
        lease_ms = self.limit_lease(terms.lease_ms)
        deadline_ms = None
        if self.lease.is_known and not self.silent and lease_ms:
            deadline_ms = self.lease.extend(lease_ms)
        sent_ms = clock.now_ms()
        poll_result = self.client.poll(
            token=terms.token,
            incarnation=self.incarnation,
            acknowledged=0 if immediate else self.ends.acknowledged,
            deadline_ms=deadline_ms,
            wait_ms=0 if immediate else self.get_wait_ms(lease_ms),
            immediate=immediate,
        )
        return poll_result, sent_ms

    def poll_now(self) -> None:
        """Polls in the background, beside a poll that waits for an end."""
        if not self.polling_now and not self.silent:
            self.polling_now = True
            self.scope.spawn(self._poll_now)

    def _poll_now(self) -> None:
        try:
            poll_result, sent_ms = self.poll(immediate=True)
            if isinstance(poll_result, result.Success) and not self.stopped:
                self.handle_poll_reply(poll_result.unwrap(), sent_ms)
        finally:
            self.polling_now = False

    def handle_introduction(
        self, reply: minions.PollReply, elapsed_ms: int
    ) -> None:
        """Handles the reply to a poll that was made for an order."""
        if not self.stopped:
            self.handle_poll_reply(reply, clock.now_ms() - elapsed_ms)

    def limit_lease(self, lease_ms: int) -> int:
        """Returns the length of the next lease, in ms.

        What runs on a minion that has left can continue elsewhere only once
        its lease is over, so that a minion about to leave gets shorter ones.
        """
        if self.minion.draining:
            return min(lease_ms, DRAINING_LEASE_MS)
        return lease_ms

    def get_wait_ms(self, lease_ms: int) -> int:
        """Returns how long a poll may wait for an end, in ms."""
        return min(POLL_WAIT_MS, (lease_ms or LEASE_MS) // POLLS_PER_LEASE)

    def handle_poll_reply(self, reply: minions.PollReply, sent_ms: int) -> None:
        """Emits the running tasks and the new ends of a poll reply."""
        if self.is_outdated(reply, sent_ms):
            return
        if self.silent:
            log.info(
                "minion_reached",
                extra={
                    "minion": self.minion.minion_id,
                    "incarnation": reply.incarnation,
                },
            )
        if reply.incarnation != self.incarnation:
            self.begin_incarnation(reply)
        self.silent = self.lapsed = False
        self.fenced_pause_s = RETRY_S
        self.lease.read_clock(reply.clock_ms)
        new_ends = self.ends.take(reply.ends)
        for end in new_ends:
            metrics.task_ends.labels(str(end.kind)).inc()
        self.emit(
            events.MinionPolled(
                minion_id=self.minion.minion_id,
                reply=dataclasses.replace(reply, ends=new_ends),
                sent_ms=sent_ms,
                lists_all_ends=not self.ends.incomplete,
            )
        )
        if not self.ends.incomplete:
            self.polled.set()

    def begin_incarnation(self, reply: minions.PollReply) -> None:
        """Forgets what was true of the previous incarnation only."""
        previous_deadline_ms = self.lease.deadline_ms
        self.lease.begin(reply.clock_ms, self.get_unknown_lease_ms())
        if self.incarnation:
            log.warning(
                "minion_restarted",
                extra={
                    "minion": self.minion.minion_id,
                    "incarnation": reply.incarnation,
                    "previous": self.incarnation,
                    "clock_ms": reply.clock_ms,
                    "deadline_ms": self.lease.deadline_ms,
                    "previous_deadline_ms": previous_deadline_ms,
                    "acknowledged": self.ends.acknowledged,
                },
            )
        self.ends.begin(from_first=bool(self.incarnation))
        self.incarnation = reply.incarnation
        self.incarnation_known_ms = clock.now_ms()

    def is_outdated(self, reply: minions.PollReply, sent_ms: int) -> bool:
        """Returns whether a reply may be older than the last one.

        Of two incarnations that answer overlapping polls, it is not known
        which is the later one; the next poll shows it.
        """
        if reply.incarnation == self.incarnation:
            return reply.clock_ms < self.lease.clock_ms
        if not self.incarnation or sent_ms > self.incarnation_known_ms:
            return False
        log.warning(
            "reply_outdated",
            extra={
                "minion": self.minion.minion_id,
                "incarnation": reply.incarnation,
                "known": self.incarnation,
                "age_ms": clock.now_ms() - sent_ms,
            },
        )
        return True

    def may_have_restarted(self, incarnation: int) -> bool:
        """Returns whether a poll or the registration shows another incarnation.

        Args:
            incarnation: Incarnation of the minion, or 0 if it is not known.
        """
        shown = {self.incarnation, self.minion.incarnation}
        return bool(incarnation) and not shown <= {0, incarnation}

    def get_unknown_lease_ms(self) -> int:
        """Returns how long orders unknown to this link may hold a lease, in ms.

        An order for the previous incarnation that reaches this one carries a
        deadline on another clock; the minion cuts it to the longest lease.
        """
        if self.incarnation:
            return self.get_terms().hold_limit_ms
        return PREVIOUS_OWNER_LEASE_MS

    def handle_poll_failure(self, failure: minions.OrderFailure) -> None:
        """Handles a poll that was not answered or was refused."""
        if failure.refusal is minions.Refusal.FENCED:
            self.on_fenced(self.minion.minion_id)
            gevent.sleep(self.fenced_pause_s)
            self.fenced_pause_s = min(
                2 * self.fenced_pause_s, MAX_FENCED_PAUSE_S
            )
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
        elif self.lease.is_expired():
            self.report_expiry("lease")
        gevent.sleep(RETRY_S)

    def get_remaining_ms(self) -> int:
        """Returns how long a run may still be active there, in ms.

        A minion that never answered may run what an earlier owner started,
        for a whole lease.
        """
        if self.lapsed:
            return 0
        if not self.lease.is_known:
            age_ms = clock.now_ms() - self.created_ms
            return max(
                0, PREVIOUS_OWNER_LEASE_MS + UNREACHED_MARGIN_MS - age_ms
            )
        return self.lease.get_remaining_ms()

    def report_expiry(self, cause: str) -> None:
        """Emits, once, that the lease has expired and nothing runs there."""
        if self.lapsed or not self.lease.is_known:
            return
        self.lapsed = True
        log.warning(
            "minion_lapsed",
            extra={
                "minion": self.minion.minion_id,
                "cause": cause,
                "deadline_ms": self.lease.deadline_ms,
                "clock_ms": self.lease.estimate_clock(),
            },
        )
        self.emit(events.LeaseExpired(minion_id=self.minion.minion_id))
        self.on_lapsed(self)

    def acknowledge_end(self, incarnation: int, number: int) -> None:
        """Allows the next poll to acknowledge an end.

        Args:
            incarnation: Incarnation of the minion that reported the end; an
                end of another one is ignored.
            number: Number of the end.
        """
        if incarnation == self.incarnation:
            self.ends.settle(number)

    def close(self) -> None:
        """Stops polling and closes the connection."""
        self.stopped = True
        self.greenlet.kill(block=False)
        self.client.close()
