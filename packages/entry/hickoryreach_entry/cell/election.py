"""Leader election of the cell: follows the owner, or takes over from it."""

import dataclasses
import logging
import math
import time

import gevent
from returns import result

from hickoryreach.platform import store
from hickoryreach.wire import frames
from hickoryreach_entry import clock
from hickoryreach_entry.cell import channel
from hickoryreach_entry.cell import failure_detector
from hickoryreach_entry.cell import owner_lookup
from hickoryreach_entry.cell import owner_status
from hickoryreach_entry.cell import ownership_claim
from hickoryreach_entry.cell import records
from hickoryreach_entry.cell import succeeding_owner

log = logging.getLogger(__name__)

SILENCE_LIMIT_S = 0.7
GREETING_TIMEOUT_S = 0.6
SUCCESSOR_DELAY_S = 0.12
SUCCESSOR_RETRY_DELAY_S = 0.1
STARTUP_DELAY_S = 0.25
CHECK_INTERVAL_S = 0.05
PEER_CLAIM_TIMEOUT_S = 0.2


class Election:
    """Connects this entry to the owner, or makes it the owner.

    One key of the store names the owner. It is written only if its revision is
    still the one that was read; the revision of that write is the fencing
    token. Times are on the monotonic clock.

    Attributes:
        member: This entry as a member of the cell.
        owner_channel: Channel to the owner, or None.
        ownership: Latest known ownership, or None.
        revision: Revision of the owner's key when it was last read.
        revision_epoch: Epoch of the owner that the key named then; 0 for none.
        highest_epoch: Highest epoch of an owner that this entry knows of.
        last_status: What the owner reported last.
        greeted: Whether the owner's present channel has brought a status.
        declined_until: Until when this entry does not take over, in s.
        claiming: Whether this entry is writing the owner's key.
        peer_claiming_at: When another entry last reported to write it, in s.
        leaving_epoch: Epoch of the last owner that announced its handover.
    """

    def __init__(self, *, member) -> None:
        """Starts without a known owner."""
        self.member = member
        self.owner_channel: channel.Channel | None = None
        self.ownership: records.Ownership | None = None
        self.revision = 0
        self.revision_epoch = 0
        self.highest_epoch = 0
        self.last_status = owner_status.OwnerStatus()
        self.greeted = False
        self.declined_until = 0.0
        self.leaving_epoch = 0
        self.claiming = False
        self.peer_claiming_at = -math.inf
        self.detector = failure_detector.FailureDetector(election=self)
        self.owner_lookup = owner_lookup.OwnerLookup(member=member)

    def handle_status(
        self, peer: channel.Channel, message: frames.Status
    ) -> None:
        """Records the status that the owner has sent."""
        if peer is not self.owner_channel:
            return
        if not message.epoch:
            peer.close("claiming" if message.claiming else "not_owner")
            return
        self.greeted = True
        self.highest_epoch = max(self.highest_epoch, message.epoch)
        self.last_status.record(message)
        self.member.cell_clock.follow(message.cell_ms)
        self.owner_lookup.record_peers(message.succession or [])
        if message.leaving:
            self.leaving_epoch = message.epoch

    def report(self) -> frames.OwnerReport:
        """Returns whether this entry hears the owner, and which one it is."""
        epoch = self.ownership.epoch if self.ownership else 0
        heard = (
            self.greeted
            and self.is_following()
            and self.last_status.get_age_s() < SILENCE_LIMIT_S
        )
        if not heard:
            return frames.OwnerReport(epoch=epoch)
        return frames.OwnerReport(
            heard=True,
            epoch=epoch,
            owner=frames.PeerInfo(
                name=self.ownership.name, address=self.ownership.address
            ),
        )

    def follow_forever(self) -> None:
        """Stays connected to the owner, or takes over if there is none.

        An entry that is about to stop takes over no more.
        """
        if not self.member.draining:
            self.delay_first_election()
        while True:
            if self.member.owner is not None:
                gevent.sleep(CHECK_INTERVAL_S)
                continue
            if self.is_following() and not self.is_owner_leaving():
                self.owner_channel.closed.wait(CHECK_INTERVAL_S)
                continue
            found = (
                self.follow_successor()
                if self.member.draining
                else self.find_or_replace_owner()
            )
            if not found:
                gevent.sleep(CHECK_INTERVAL_S)

    def follow_successor(self) -> bool:
        """Follows whom the store names, as an entry that is about to stop.

        Its last callers still ask for what only an owner can answer.
        """
        read = self.member.client.get(records.OWNER_KEY)
        if isinstance(read, result.Failure):
            return self.follow_reported_owner()
        found = records.decode_ownership(read.unwrap().data)
        if found is None or found.name == self.member.own_info.name:
            return False
        return found.epoch != self.leaving_epoch and self.follow(found)

    def delay_first_election(self) -> None:
        """Delays entries with less processor time if no owner can be read."""
        found = self.member.client.get(records.OWNER_KEY).value_or(None)
        if found is None or found.data is None:
            gevent.sleep(
                STARTUP_DELAY_S / max(self.member.own_info.processor, 0.2)
            )

    def is_owner_leaving(self) -> bool:
        """Returns whether the known owner is handing its ownership over."""
        known = self.ownership
        return known is not None and known.epoch == self.leaving_epoch

    def is_following(self) -> bool:
        """Returns whether the channel to the owner is open and not silent."""
        peer = self.owner_channel
        return (
            peer is not None
            and not peer.closed.is_set()
            and clock.boot_s() - peer.last_received_at < SILENCE_LIMIT_S
        )

    def find_or_replace_owner(self) -> bool:
        """Follows the owner or replaces it; returns whether there is one."""
        leaving = self.is_owner_leaving()
        silent = (
            self.owner_channel is not None
            and not self.owner_channel.closed.is_set()
        )
        if not leaving and not silent:
            self.close_owner_channel("lost")
            if self.take_over_as_successor():
                return True
        if (
            self.member.client.health.failing_since
            and self.follow_reported_owner()
        ):
            return True
        read = self.member.client.get(records.OWNER_KEY)
        if isinstance(read, result.Failure):
            return self.follow_reported_owner()
        item = read.unwrap()
        found = records.decode_ownership(item.data)
        self.revision = item.revision
        self.revision_epoch = found.epoch if found else 0
        self.highest_epoch = max(self.highest_epoch, self.revision_epoch)
        known = self.ownership
        changed = found is not None and (
            known is None or found.epoch != known.epoch
        )
        if found is not None and found.name != self.member.own_info.name:
            if changed and self.follow(found):
                return True
            if time.monotonic() - self.peer_claiming_at < PEER_CLAIM_TIMEOUT_S:
                return False
            leaving = leaving and found.epoch == self.leaving_epoch
            if not leaving and not self.detector.has_failed(found, silent):
                return self.follow(found)
        if self.wait_for_predecessors(leaving, item, found):
            return False
        return self.take_over(item, found)

    def take_over_as_successor(self) -> bool:
        """Takes over from an owner whose process is gone, without a read.

        Only the first in the succession does so. The write requires the
        revision last read, so that it fails if another entry has taken over.
        """
        known = self.ownership
        if known is None or self.revision_epoch != known.epoch:
            return False
        if self.list_predecessors(known):
            return False
        if not self.last_status.epoch or time.monotonic() < self.declined_until:
            return False
        if self.follow(known) or self.detector.refused != known.epoch:
            return self.is_following()
        item = store.Item(
            key=records.OWNER_KEY, data=None, revision=self.revision
        )
        return self.take_over(item, known)

    def follow_reported_owner(self) -> bool:
        """Follows the owner that peers hear while the store is unreachable.

        If no peer hears an owner, it connects to the last known one again.
        """
        if self.is_following():
            return True
        known = self.ownership
        named = self.owner_lookup.find_owner()
        if named is not None and (known is None or named.epoch >= known.epoch):
            return self.follow(named)
        if known is None or known.name == self.member.own_info.name:
            return False
        return self.detector.refused != known.epoch and self.follow(known)

    def wait_for_predecessors(
        self,
        leaving: bool,
        item: store.Item,
        found: records.Ownership | None,
    ) -> bool:
        """Waits for earlier successors; returns whether to check again."""
        if time.monotonic() < self.declined_until:
            gevent.sleep(SUCCESSOR_DELAY_S)
            return True
        before = self.list_predecessors(found)
        if not before:
            return False
        limit_s = len(before) * SUCCESSOR_DELAY_S * (2 if leaving else 1)
        if self.wait_for_successor(before[0], found, limit_s):
            return True
        again = self.member.client.get(records.OWNER_KEY).value_or(None)
        return again is None or again.revision != item.revision

    def list_predecessors(
        self, found: records.Ownership | None
    ) -> list[frames.PeerInfo]:
        """Returns the entries before this one in the succession."""
        if found is None:
            return []
        before = []
        for peer in self.last_status.succession:
            if peer.name == self.member.own_info.name:
                break
            if peer.name != found.name:
                before.append(peer)
        return before

    def wait_for_successor(
        self,
        first: frames.PeerInfo,
        found: records.Ownership,
        limit_s: float,
    ) -> bool:
        """Follows the first successor; returns whether it owns the cell."""
        named = records.Ownership(
            name=first.name, address=first.address, epoch=found.epoch + 1
        )
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            gevent.sleep(SUCCESSOR_RETRY_DELAY_S)
            if self.follow(named, confirmed=False):
                return True
        return False

    def follow(self, found: records.Ownership, confirmed: bool = True) -> bool:
        """Connects to an entry; returns whether it answered as the owner.

        Args:
            found: The ownership of the entry.
            confirmed: Whether the entry is known to have become the owner. If
                not, its refusal does not show that an owner has failed.
        """
        self.close_owner_channel("owner_changed")
        self.greeted = False
        try:
            owner_channel = channel.connect(found.address, self.member.handle)
        except OSError as error:
            log.info(
                "owner_unreachable",
                extra={
                    "owner": found.name,
                    "epoch": found.epoch,
                    "reason": str(error),
                },
            )
            if confirmed:
                self.detector.record_connect_failure(found, error)
            return False
        self.owner_channel = owner_channel
        owner_channel.send(greeting=frames.Greeting(peer=self.member.own_info))
        deadline = time.monotonic() + GREETING_TIMEOUT_S
        while time.monotonic() < deadline and not owner_channel.closed.is_set():
            if self.greeted:
                self.ownership = dataclasses.replace(
                    found, epoch=self.last_status.epoch
                )
                self.detector.reset()
                log.info(
                    "owner_followed",
                    extra={
                        "owner": found.name,
                        "epoch": self.last_status.epoch,
                    },
                )
                self.member.forward_advice()
                return True
            gevent.sleep(0.01)
        if owner_channel.reason == "claiming":
            self.peer_claiming_at = time.monotonic()
        elif confirmed and owner_channel.reason == "not_owner":
            self.detector.refused = found.epoch
        self.close_owner_channel("no_greeting")
        return False

    def close_owner_channel(self, reason: str) -> None:
        """Closes the channel to the owner, if there is one."""
        if self.owner_channel is not None:
            log.info("owner_lost", extra={"cause": reason})
            self.owner_channel.close(reason)
            self.owner_channel = None

    def take_over(
        self, item: store.Item, found: records.Ownership | None
    ) -> bool:
        """Writes the owner's key; returns whether this is the owner now."""
        if self.member.draining:
            return False
        wanted = records.Ownership(
            name=self.member.own_info.name,
            address=self.member.own_info.address,
            epoch=found.epoch + 1 if found else 1,
        )
        self.claiming = True
        try:
            claimed = ownership_claim.claim_ownership(
                self.member.client, wanted, item.revision
            )
        finally:
            self.claiming = False
        if isinstance(claimed, result.Success):
            self.begin_ownership(wanted, claimed.unwrap())
            if self.member.draining:  # it began to stop during the write
                self.member.release_ownership(self.member.owner)
            return True
        log.info(
            "takeover_refused",
            extra={"epoch": wanted.epoch, "reason": claimed.failure().reason},
        )
        return False

    def begin_ownership(
        self, ownership: records.Ownership, revision: int
    ) -> None:
        """Starts the owner under its epoch and fencing token."""
        self.close_owner_channel("took_over")
        previous, self.ownership = self.ownership, ownership
        self.detector.reset()
        log.info(
            "ownership_taken",
            extra={"epoch": ownership.epoch, "token": revision},
        )
        self.member.owner = succeeding_owner.build_owner(
            member=self.member,
            ownership=ownership,
            revision=revision,
            previous=previous,
            last_status=self.last_status,
        )
        self.member.owner.start()
        self.member.forward_advice()
