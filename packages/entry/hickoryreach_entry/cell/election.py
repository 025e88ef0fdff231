"""Who owns the cell: follows the owner, or takes over where there is none."""

import dataclasses
import logging
import math
import time

import gevent
from returns import result

from hickoryreach.platform import store
from hickoryreach.wire import frames
from hickoryreach_entry.cell import channel
from hickoryreach_entry.cell import failure_detector
from hickoryreach_entry.cell import owner as owner_module
from hickoryreach_entry.cell import owner_lookup
from hickoryreach_entry.cell import ownership_claim
from hickoryreach_entry.cell import records

log = logging.getLogger(__name__)

SILENT_S = 0.7
GREETING_TIMEOUT_S = 0.6
RANK_DELAY_S = 0.12
SUCCESSOR_POLL_S = 0.1
BOOT_DELAY_S = 0.25
POLL_S = 0.05
SILENT_FRESH_S = 2.5
CLAIM_LIMIT_S = 0.2
AFTERLIFE_MS = 1_500


class Election:
    """Keeps a way to the owner, or makes this entry the owner.

    The owner is named by one key of the store, which is written only if its
    revision is still the one that was read; the revision of that write is
    the fencing token.

    Attributes:
        member: This entry as a member of the cell.
        owner_channel: Channel to the owner, or None.
        ownership: Latest ownership known.
        revision: Revision of the owner's key when it was last read.
        revision_epoch: Epoch of the owner that the key named then; 0 for none.
        status: Latest status of the owner, or None.
        status_received_at: When it came, in s.
        pending: Jobs by queue none of whose tasks has started, as last told.
        pending_received_at: When they were told, in s.
        declined_until: Until when this entry does not take over, in s.
        claiming: Whether this entry is writing the owner's key.
        peer_claiming_at: When another entry was last found to do so, in s.
        leaving_epoch: Epoch of the owner that last handed its ownership over.
    """

    def __init__(self, *, member) -> None:
        """Creates an election without an owner."""
        self.member = member
        self.owner_channel: channel.Channel | None = None
        self.ownership: records.Ownership | None = None
        self.revision = 0
        self.revision_epoch = 0
        self.status: frames.Status | None = None
        self.status_received_at = 0.0
        self.pending: dict[str, int] = {}
        self.pending_received_at = -math.inf
        self.declined_until = 0.0
        self.leaving_epoch = 0
        self.claiming = False
        self.peer_claiming_at = -math.inf
        self.failure_detector = failure_detector.FailureDetector(election=self)
        self.owner_lookup = owner_lookup.OwnerLookup(member=member)

    def handle_status(
        self, peer: channel.Channel, message: frames.Status
    ) -> None:
        """Takes in what the owner tells."""
        if peer is not self.owner_channel:
            return
        if not message.epoch:
            peer.close("claiming" if message.claiming else "not_owner")
            return
        self.status = message
        self.status_received_at = time.monotonic()
        self.owner_lookup.record_peers(message.succession or [])
        if message.serving:
            self.pending = dict(message.pending or {})
            self.pending_received_at = self.status_received_at
        if message.leaving:
            self.leaving_epoch = message.epoch

    def report(self) -> frames.OwnerReport:
        """Returns whether this entry has heard the owner lately."""
        epoch = self.ownership.epoch if self.ownership else 0
        heard = (
            self.is_following()
            and time.monotonic() - self.status_received_at < SILENT_S
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
        """Keeps a way to the owner, or takes over where there is none."""
        if not self.member.draining:
            self.delay_first_election()
        while not self.member.draining:
            if self.member.owner is not None:
                gevent.sleep(POLL_S)
                continue
            if self.is_following() and not self.is_owner_leaving():
                self.owner_channel.closed.wait(POLL_S)
                continue
            if not self.seek():
                gevent.sleep(POLL_S)

    def delay_first_election(self) -> None:
        """Lets the machines with the most processor time go first."""
        found = self.member.client.get(records.OWNER_KEY).value_or(None)
        if found is None or found.data is None:
            gevent.sleep(BOOT_DELAY_S / max(self.member.me.processor, 0.2))

    def is_owner_leaving(self) -> bool:
        """Returns whether the present owner hands its ownership over."""
        known = self.ownership
        return known is not None and known.epoch == self.leaving_epoch

    def is_following(self) -> bool:
        """Returns whether the owner has been heard lately."""
        owner_channel = self.owner_channel
        return (
            owner_channel is not None
            and not owner_channel.closed.is_set()
            and time.monotonic() - owner_channel.last_received_at < SILENT_S
        )

    def seek(self) -> bool:
        """Finds the owner or takes over; returns whether there is one."""
        invited = self.is_owner_leaving()
        silent = (
            self.owner_channel is not None
            and not self.owner_channel.closed.is_set()
        )
        if not invited and not silent:
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
        known = self.ownership
        changed = found is not None and (
            known is None or found.epoch != known.epoch
        )
        if found is not None and found.name != self.member.me.name:
            if changed and self.join(found):
                return True
            if time.monotonic() - self.peer_claiming_at < CLAIM_LIMIT_S:
                return False
            invited = invited and found.epoch == self.leaving_epoch
            if not invited and not self.failure_detector.has_failed(
                found, silent
            ):
                return self.join(found)
        if self.wait_for_predecessors(invited, item, found):
            return False
        return self.take_over(item, found)

    def take_over_as_successor(self) -> bool:
        """Takes over from an owner whose process is gone, without reading.

        Only the first of the succession does; the revision that it knows
        makes the store refuse it if another has taken over.
        """
        known = self.ownership
        if known is None or self.revision_epoch != known.epoch:
            return False
        if self.list_predecessors(known):
            return False
        if self.status is None or time.monotonic() < self.declined_until:
            return False
        if self.join(known) or self.failure_detector.refused != known.epoch:
            return self.is_following()
        item = store.Item(
            key=records.OWNER_KEY, data=None, revision=self.revision
        )
        return self.take_over(item, known)

    def follow_reported_owner(self) -> bool:
        """Follows the owner that peers hear, while the store is away here.

        Without such a peer it tries the last known owner again.
        """
        if self.is_following():
            return True
        known = self.ownership
        named = self.owner_lookup.find_owner()
        if named is not None and (known is None or named.epoch >= known.epoch):
            return self.join(named)
        if known is None or known.name == self.member.me.name:
            return False
        return self.failure_detector.refused != known.epoch and self.join(known)

    def wait_for_predecessors(
        self,
        invited: bool,
        item: store.Item,
        found: records.Ownership | None,
    ) -> bool:
        """Waits for those that go first; returns whether one took over."""
        if time.monotonic() < self.declined_until:
            gevent.sleep(RANK_DELAY_S)
            return True
        before = self.list_predecessors(found)
        if not before:
            return False
        limit_s = len(before) * RANK_DELAY_S * (2 if invited else 1)
        if self.wait_for_successor(before[0], found, limit_s):
            return True
        again = self.member.client.get(records.OWNER_KEY).value_or(None)
        return again is None or again.revision != item.revision

    def list_predecessors(
        self, found: records.Ownership | None
    ) -> list[frames.PeerInfo]:
        """Returns those that take over sooner from an owner that has failed."""
        if self.status is None or found is None:
            return []
        before = []
        for peer in self.status.succession:
            if peer.name == self.member.me.name:
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
        """Tries to follow the first successor; returns whether it owns."""
        named = records.Ownership(
            name=first.name, address=first.address, epoch=found.epoch + 1
        )
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            gevent.sleep(SUCCESSOR_POLL_S)
            if self.join(named, certain=False):
                return True
        return False

    def join(self, found: records.Ownership, certain: bool = True) -> bool:
        """Connects to an owner; returns whether it answered as one.

        Args:
            found: The owner.
            certain: Whether it is known to have become the owner; if not, its
                refusal tells nothing.
        """
        self.close_owner_channel("owner_changed")
        self.status_received_at = 0.0
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
            if certain:
                self.failure_detector.record_connect_failure(found, error)
            return False
        self.owner_channel = owner_channel
        owner_channel.send(greeting=frames.Greeting(peer=self.member.me))
        deadline = time.monotonic() + GREETING_TIMEOUT_S
        while time.monotonic() < deadline and not owner_channel.closed.is_set():
            if self.status_received_at:
                self.ownership = dataclasses.replace(
                    found, epoch=self.status.epoch
                )
                self.failure_detector.clear()
                log.info(
                    "owner_followed",
                    extra={"owner": found.name, "epoch": self.status.epoch},
                )
                self.member.forward_advice()
                return True
            gevent.sleep(0.01)
        if owner_channel.reason == "claiming":
            self.peer_claiming_at = time.monotonic()
        elif certain and owner_channel.reason == "not_owner":
            self.failure_detector.refused = found.epoch
        self.close_owner_channel("no_greeting")
        return False

    def close_owner_channel(self, reason: str) -> None:
        """Forgets the way to the owner."""
        if self.owner_channel is not None:
            log.info("owner_lost", extra={"cause": reason})
            self.owner_channel.close(reason)
            self.owner_channel = None

    def take_over(
        self, item: store.Item, found: records.Ownership | None
    ) -> bool:
        """Tries to become the owner; returns whether that worked."""
        wanted = records.Ownership(
            name=self.member.me.name,
            address=self.member.me.address,
            epoch=found.epoch + 1 if found else 1,
        )
        self.claiming = True
        try:
            claimed = ownership_claim.claim(
                self.member.client, wanted, item.revision
            )
        finally:
            self.claiming = False
        if isinstance(claimed, result.Success):
            self.begin_ownership(wanted, claimed.unwrap())
            return True
        log.info(
            "takeover_refused",
            extra={"epoch": wanted.epoch, "reason": claimed.failure().reason},
        )
        return False

    def begin_ownership(
        self, ownership: records.Ownership, revision: int
    ) -> None:
        """Becomes the owner under an epoch and a token."""
        self.close_owner_channel("took_over")
        silent = self.get_silent_minions(ownership)
        followed = self.status is not None and (
            self.status.epoch == ownership.epoch - 1
        )
        self.ownership = ownership
        self.failure_detector.clear()
        log.info(
            "ownership_taken",
            extra={"epoch": ownership.epoch, "token": revision},
        )
        self.member.owner = owner_module.Owner(
            settings=self.member.settings,
            client=self.member.client,
            epoch=ownership.epoch,
            revision=revision,
            configuration=self.member.configuration,
            local_advisor=self.member.advisor,
            get_channels=lambda: self.member.followers,
            silent=silent,
            may_recall_advice=followed,
            on_deposed=lambda reason: gevent.spawn(
                self.member.end_ownership, reason
            ),
        )
        self.member.owner.start()
        self.member.forward_advice()

    def get_silent_minions(
        self, ownership: records.Ownership
    ) -> dict[str, int]:
        """Returns what the last owner told of minions that do not answer.

        Empty if that was long ago, or told by an owner before the last. An
        owner that may live on may reach some of them again and renew their
        leases until it knows that it is deposed.
        """
        status = self.status
        fresh = time.monotonic() - self.status_received_at < SILENT_FRESH_S
        if status is None or not fresh or status.epoch != ownership.epoch - 1:
            return {}
        ended = status.leaving or self.failure_detector.refused
        slack_ms = 0 if ended else AFTERLIFE_MS
        return {
            name: left_ms + slack_ms
            for name, left_ms in (status.silent or {}).items()
        }
