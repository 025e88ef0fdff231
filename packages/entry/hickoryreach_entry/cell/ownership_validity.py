"""Confirmation that an owner is still the owner of the cell."""

from collections.abc import Callable

import gevent

from hickoryreach.platform import store
from hickoryreach_entry import clock
from hickoryreach_entry.cell import channel
from hickoryreach_entry.cell import records

CONFIRM_INTERVAL_S = 0.5
CONFIRMATION_MAX_AGE_S = 1.5
FOLLOWER_SILENCE_LIMIT_S = 1.0


class OwnershipValidity:
    """Confirms the ownership by the store, or by followers without it.

    Times are on the boot clock in s: an owner that was suspended must not act
    on a confirmation from before.

    Attributes:
        revision: Revision of the owner's key that makes this the owner.
        confirmed_at: Start of the last check that confirmed the ownership.
    """

    def __init__(
        self,
        *,
        client: store.Store,
        revision: int,
        get_channels: Callable[[], dict[str, channel.Channel]],
        on_deposed: Callable[[str], None],
    ) -> None:
        """Starts with a confirmed ownership.

        Args:
            client: The store.
            revision: Revision of the owner's key that makes this the owner.
            get_channels: Returns the channels of the followers by name.
            on_deposed: Called with the reason when the key has changed.
        """
        self.client = client
        self.revision = revision
        self.get_channels = get_channels
        self.on_deposed = on_deposed
        self.confirmed_at = clock.boot_s()

    def is_confirmed(self) -> bool:
        """Returns whether the last confirmation is recent enough to act on."""
        return clock.boot_s() - self.confirmed_at < CONFIRMATION_MAX_AGE_S

    def confirm_forever(self) -> None:
        """Checks at regular intervals that no other entry has taken over."""
        while True:
            self.confirm()
            gevent.sleep(CONFIRM_INTERVAL_S)

    def confirm(self) -> None:
        """Checks once, and reports an ownership that has ended.

        While the store does not answer, a quorum of followers confirms it.
        """
        asked_at = clock.boot_s()
        found = self.client.get(records.OWNER_KEY).value_or(None)
        if found is None:
            if self.has_follower_quorum():
                self.confirmed_at = asked_at
        elif found.revision == self.revision:
            self.confirmed_at = asked_at
        else:
            self.on_deposed("owner_key_changed")

    def has_follower_quorum(self) -> bool:
        """Returns whether at least half of the followers were heard lately."""
        now = clock.boot_s()
        peers = list(self.get_channels().values())
        heard = sum(
            now - peer.last_received_at < FOLLOWER_SILENCE_LIMIT_S
            for peer in peers
        )
        return bool(peers) and 2 * heard >= len(peers)
