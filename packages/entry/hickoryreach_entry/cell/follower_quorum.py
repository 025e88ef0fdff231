"""Confirmation of an ownership by the entries that follow the owner."""

from collections.abc import Iterable
import dataclasses
import logging
import math

from hickoryreach_entry import clock
from hickoryreach_entry.cell import owner_status

log = logging.getLogger(__name__)

SILENCE_LIMIT_S = 1.0
ABSENCE_LIMIT_S = 5.0  # an entry that is served replaces its owner sooner


@dataclasses.dataclass(kw_only=True, slots=True)
class Follower:
    """An entry that may take over. Times are on the boot clock in s.

    Attributes:
        present_at: When it was last known to be there.
        echoed_at: When the owner sent the latest status that it has echoed.
        left: Whether it has said that it will not take over.
    """

    present_at: float
    echoed_at: float = -math.inf
    left: bool = False


class FollowerQuorum:
    """Confirms, without the store, that no other entry has taken over.

    A takeover needs the store and no majority, so that a majority of followers
    can't exclude one. Each entry that was there when the store last confirmed
    the ownership has to echo a status of this owner, but for those that have
    left gracefully: a crash can't be told from a cut. An entry echoes nothing
    while it writes the owner's key or owns the cell: it had not taken over
    when the owner sent that status.

    Attributes:
        followers: Entries that may take over, by name.
        complete: Whether these are all that there are.
        begun_at: Start of the ownership, on the boot clock in s.
    """

    def __init__(self, *, expected: Iterable[str], complete: bool) -> None:
        """Starts with the entries that the previous owner knew.

        Args:
            expected: Their names.
            complete: Whether there may be no others.
        """
        self.begun_at = clock.boot_s()
        self.complete = complete
        self.followers = {
            name: Follower(present_at=self.begun_at) for name in expected
        }

    def add(self, name: str) -> None:
        """Adds an entry that has begun to follow this owner."""
        self.followers[name] = Follower(present_at=clock.boot_s())

    def record_echo(self, name: str, sent_at: float) -> None:
        """Records that an entry has echoed a status of this owner.

        Args:
            name: The entry.
            sent_at: When the status was sent, on the boot clock in s.
        """
        follower = self.followers.get(name)
        now = clock.boot_s()
        if follower is None or sent_at > now:
            log.warning("echo_ignored", extra={"peer": name})
            return
        follower.present_at = now
        follower.echoed_at = max(follower.echoed_at, sent_at)

    def record_leaving(self, name: str) -> None:
        """Records that an entry has said that it will not take over."""
        follower = self.followers.get(name)
        if follower is not None and not follower.left:
            follower.left = True
            log.info("follower_leaving", extra={"peer": name})

    def settle(self) -> None:
        """Drops the entries that are gone, as the store has confirmed."""
        present_since = clock.boot_s() - ABSENCE_LIMIT_S
        self.complete = self.complete or self.begun_at < present_since
        for name, follower in list(self.followers.items()):
            if follower.left or follower.present_at < present_since:
                del self.followers[name]

    def get_confirmed_at(self) -> float:
        """Returns when no other entry had taken over, on the boot clock in s.

        Returns:
            The time, or minus infinity if it isn't known or if not most of the
            entries, this one included, are left.
        """
        echoes = [
            each.echoed_at for each in self.followers.values() if not each.left
        ]
        if not echoes or not self.complete or not self.is_majority(len(echoes)):
            return -math.inf
        return min(echoes)

    def hears_majority(self) -> bool:
        """Returns whether this and the entries heard lately are most."""
        heard_since = clock.boot_s() - SILENCE_LIMIT_S
        heard = sum(
            not each.left and each.echoed_at > heard_since
            for each in self.followers.values()
        )
        return bool(heard) and self.is_majority(heard)

    def is_majority(self, count: int) -> bool:
        """Returns whether some followers and this are most of the entries."""
        return 2 * (count + 1) > len(self.followers) + 1

    def list_missing(self) -> list[str]:
        """Returns the entries that may be there and aren't heard."""
        heard_since = clock.boot_s() - SILENCE_LIMIT_S
        return sorted(
            name
            for name, each in self.followers.items()
            if not each.left and each.echoed_at <= heard_since
        )


def build_successor_quorum(
    *,
    epoch: int,
    own_name: str,
    previous_name: str,
    last_status: owner_status.OwnerStatus,
) -> FollowerQuorum:
    """Returns the entries that may take over from a new owner.

    Args:
        epoch: Epoch of the new owner.
        own_name: Its name.
        previous_name: Name of the previous owner, or empty.
        last_status: The last status that the new owner has heard.
    """
    names = {peer.name for peer in last_status.succession} | {previous_name}
    return FollowerQuorum(
        expected=names - {own_name, ""},
        complete=last_status.epoch > 0
        and last_status.epoch == epoch - 1
        and last_status.followers <= len(last_status.succession),
    )
