"""Whether an owner may take itself for one still."""

from collections.abc import Callable
import time

import gevent

from hickoryreach.platform import store
from hickoryreach_entry.cell import channel
from hickoryreach_entry.cell import records

CONFIRM_S = 0.5
CONFIRM_LIMIT_S = 1.5
HEARD_S = 1.0


class OwnershipValidity:
    """Asks the store who the owner is, or the peers while it is away.

    Attributes:
        revision: Revision of the owner's key that makes this the owner.
        confirmed_at: When the ownership was last certain, in s.
    """

    def __init__(
        self,
        *,
        client: store.Store,
        revision: int,
        get_channels: Callable[[], dict[str, channel.Channel]],
        on_deposed: Callable[[str], None],
    ) -> None:
        """Creates the certainty of an owner that has just taken over."""
        self.client = client
        self.revision = revision
        self.get_channels = get_channels
        self.on_deposed = on_deposed
        self.confirmed_at = time.monotonic()

    def is_confirmed(self, now: float) -> bool:
        """Returns whether the ownership was confirmed lately."""
        return now - self.confirmed_at < CONFIRM_LIMIT_S

    def confirm_forever(self) -> None:
        """Makes sure from time to time that nobody else has taken over."""
        while True:
            self.confirm()
            gevent.sleep(CONFIRM_S)

    def confirm(self) -> None:
        """Asks once; tells if the ownership is over."""
        asked_at = time.monotonic()
        found = self.client.get(records.OWNER_KEY).value_or(None)
        if found is None:
            if self.is_heard(time.monotonic()):
                self.confirmed_at = asked_at
        elif found.revision == self.revision:
            self.confirmed_at = asked_at
        else:
            self.on_deposed("owner_key_changed")

    def is_heard(self, now: float) -> bool:
        """Returns whether most of the entries still follow this one."""
        peers = list(self.get_channels().values())
        heard = sum(now - peer.last_received_at < HEARD_S for peer in peers)
        return bool(peers) and 2 * heard >= len(peers)
