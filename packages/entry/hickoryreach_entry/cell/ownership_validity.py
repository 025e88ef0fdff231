"""Confirmation that an owner is still the owner of the cell."""

from collections.abc import Callable
import logging
import math

import gevent

from hickoryreach.platform import store
from hickoryreach_entry import clock
from hickoryreach_entry.cell import follower_quorum
from hickoryreach_entry.cell import ownership_scope
from hickoryreach_entry.cell import records

log = logging.getLogger(__name__)

CONFIRM_INTERVAL_S = 0.5
MIN_CHECK_GAP_S = 0.2
MAX_CHECKS = 4  # a check without an answer must not keep off the next one
CONFIRMATION_MAX_AGE_S = 1.5


class OwnershipValidity:
    """Confirms the ownership by the store, or by followers without it.

    Times are on the boot clock in s: an owner that was suspended must not act
    on a confirmation from before.

    Attributes:
        revision: Revision of the owner's key that makes this the owner.
        quorum: The entries that may take over.
        stored_at: Start of the last check by which the store confirmed.
        followed_at: When the followers last confirmed.
        store_answers: Whether the store answered the last check.
        replaced_at: When something showed a later owner; minus infinity if
            the store has denied it since.
        asked_at: Start of the last check.
        checks: Number of checks under way.
    """

    def __init__(
        self,
        *,
        scope: ownership_scope.OwnershipScope,
        client: store.Store,
        revision: int,
        quorum: follower_quorum.FollowerQuorum,
        on_deposed: Callable[[str], None],
    ) -> None:
        """Starts with a confirmed ownership.

        Args:
            scope: The ownership.
            client: The store.
            revision: Revision of the owner's key that makes this the owner.
            quorum: The entries that may take over.
            on_deposed: Called with the reason when the key has changed.
        """
        self.scope = scope
        self.client = client
        self.revision = revision
        self.quorum = quorum
        self.on_deposed = on_deposed
        self.stored_at = clock.boot_s()
        self.followed_at = -math.inf
        self.store_answers = True
        self.replaced_at = -math.inf
        self.asked_at = -math.inf
        self.checks = 0

    def is_confirmed(self) -> bool:
        """Returns whether the last confirmation is recent enough to act on."""
        if not self.store_answers and self.replaced_at == -math.inf:
            self.followed_at = max(
                self.followed_at, self.quorum.get_confirmed_at()
            )
        confirmed_at = max(self.stored_at, self.followed_at)
        return clock.boot_s() - confirmed_at < CONFIRMATION_MAX_AGE_S

    def confirm_forever(self) -> None:
        """Checks at regular intervals that no other entry has taken over."""
        while True:
            self.confirm()
            gevent.sleep(CONFIRM_INTERVAL_S)

    def confirm(self) -> None:
        """Checks once, and reports an ownership that has ended.

        While the store does not answer, the followers confirm it.
        """
        asked_at = self.asked_at = clock.boot_s()
        self.checks += 1
        try:
            found = self.client.get(records.OWNER_KEY).value_or(None)
        finally:
            self.checks -= 1
        if found is None:
            self.record_store_answers(answers=False)
        elif found.revision == self.revision:
            self.stored_at = max(self.stored_at, asked_at)
            self.record_store_answers(answers=True)
            if self.replaced_at < asked_at:
                self.replaced_at = -math.inf
            self.quorum.settle()
        else:
            self.on_deposed("owner_key_changed")

    def confirm_soon(self) -> None:
        """Checks in the background, unless enough checks are made already.

        Every minion may refuse the token of an earlier owner, again and again,
        while the store answers none of its checks.
        """
        now = clock.boot_s()
        if now - self.asked_at < MIN_CHECK_GAP_S or self.checks >= MAX_CHECKS:
            return
        self.asked_at = now
        self.scope.spawn(self.confirm)

    def record_store_answers(self, *, answers: bool) -> None:
        """Records whether the store has answered a check."""
        if answers != self.store_answers:
            log.warning(
                "ownership_confirmed_by",
                extra={
                    "store": answers,
                    "followers": len(self.quorum.followers),
                    "missing": ",".join(self.quorum.list_missing()),
                },
            )
        self.store_answers = answers

    def record_later_owner(self, shown_by: str) -> None:
        """Ends the followers' confirmation, as there is a later owner.

        Args:
            shown_by: What has shown it.
        """
        if self.replaced_at == -math.inf:
            log.warning("later_owner_shown", extra={"by": shown_by})
        self.replaced_at = clock.boot_s()
        self.followed_at = -math.inf
