"""Routes messages between this entry, its peers and the shards it owns."""

import logging
import time

import gevent

from hickoryreach.trial import store
from hickoryreach.wire import messages
from hickoryreach_entry import assignment
from hickoryreach_entry import detector
from hickoryreach_entry import envelopes
from hickoryreach_entry import front
from hickoryreach_entry import greenlets
from hickoryreach_entry import listing
from hickoryreach_entry import lists
from hickoryreach_entry import membership
from hickoryreach_entry import metrics
from hickoryreach_entry import peers
from hickoryreach_entry.config import settings as entry_settings
from hickoryreach_entry.owner import shard as owner_shard

log = logging.getLogger(__name__)

REVIEW_S = 0.25
LOST_PAUSE_S = 1.0
DECLINE_S = 15.0
REBALANCE_S = 10.0


class Router:
    """Knows the owner of each shard and the way to each entry.

    Attributes:
        owners: Shards this entry owns.
        peers: Connections to other entries, by name.
        front: Callers of this entry.
        detector: What the other entries told.
        declined_until: Time, in s, by shard, before which it is not taken.
        draining: Whether this entry gives up its shards.
    """

    def __init__(
        self,
        *,
        settings: entry_settings.Settings,
        client: store.Store,
        members: membership.Membership,
        in_force: lists.Lists,
    ) -> None:
        """Creates a router that owns nothing."""
        self.settings = settings
        self.client = client
        self.membership = members
        self.lists = in_force
        self.owners: dict[int, owner_shard.ShardOwner] = {}
        self.peers: dict[str, peers.Peer] = {}
        self.draining = False
        self.lost_at: dict[int, float] = {}
        self.declined_until: dict[int, float] = {}
        self.known_owners: dict[int, str | None] = {}
        self.balanced_at = time.monotonic()
        self.heard: list[str] = []
        self.detector = detector.Detector(name=settings.name)
        self.local = peers.LocalPeer(
            build_envelope=self.build_envelope, deliver=self.deliver
        )
        self.instances_client = client
        if settings.instances_url:
            self.instances_client = store.Store(url=settings.instances_url)
        self.front = front.Front(
            name=settings.name, send_to_owner=self.send_to_owner
        )
        members.is_heard = lambda name: self.detector.is_heard(
            name, time.monotonic()
        )
        members.listeners.append(self.change_members)
        in_force.listeners.append(self.change_entitlements)

    def start(self) -> None:
        """Begins to look after shards and callers."""
        greenlets.spawn_vital(self.front.repeat_forever)
        greenlets.spawn_vital(self.review_forever)

    def review_forever(self) -> None:
        """Looks at members and shards from time to time."""
        while True:
            gevent.sleep(REVIEW_S)
            self.membership.refresh()
            self.share_heard()
            self.reassign()
            self.rebalance(time.monotonic())

    def share_heard(self) -> None:
        """Tells the others at once when somebody is not heard any more."""
        heard = self.detector.list_heard(time.monotonic())
        if heard != self.heard:
            self.heard = heard
            self.announce()

    def change_members(self) -> None:
        """Connects to each member, and forgets those who left."""
        members = self.membership.members
        for name, known in list(self.peers.items()):
            member = members.get(name)
            if member is None or member.peer_address != known.address:
                self.peers.pop(name).close()
        for name in set(self.detector.told) - set(members):
            self.detector.forget(name)
        for name, member in members.items():
            if name != self.settings.name and name not in self.peers:
                self.peers[name] = peers.Peer(
                    name=name,
                    address=member.peer_address,
                    build_envelope=self.build_envelope,
                    on_receipt=self.take_receipt,
                    on_refused=self.note_refused,
                )
        self.reassign()

    def note_refused(self, name: str) -> None:
        """Notes an entry that does not listen any more."""
        if self.detector.note_refused(name):
            self.announce()

    def list_candidates(self, now: float) -> list[str]:
        """Returns the members that may take a shard."""
        members = self.membership.members
        return [
            name
            for name, member in members.items()
            if not self.is_draining(name, member)
            and not self.detector.is_suspected(name, members, now)
        ]

    def is_draining(self, name: str, member: membership.Member) -> bool:
        """Returns whether a member gives up its shards."""
        if name == self.settings.name:
            return self.draining
        told = self.detector.told.get(name)
        return member.draining or (told is not None and told.draining)

    def list_claims(self, now: float) -> dict[int, tuple[int, str]]:
        """Returns the highest term and its owner for each claimed shard."""
        members = self.membership.members
        claims: dict[int, tuple[int, str]] = {}
        for name, told in self.detector.told.items():
            if name not in members or self.detector.is_suspected(
                name, members, now
            ):
                continue
            for shard, term in told.claims.items():
                claims[shard] = max(claims.get(shard, (0, "")), (term, name))
        for shard, owner in self.owners.items():
            if owner.owning:
                claim = (owner.journal.term, self.settings.name)
                claims[shard] = max(claims.get(shard, (0, "")), claim)
        return claims

    def find_owners(self, now: float) -> dict[int, str | None]:
        """Returns who owns, or is to take, each shard."""
        claims = self.list_claims(now)
        loads: dict[str, int] = {}
        for _, name in claims.values():
            loads[name] = loads.get(name, 0) + 1
        candidates = self.list_candidates(now)
        owners: dict[int, str | None] = {}
        for shard, (term, _) in claims.items():
            self.front.dispatches.note_term(shard, term)
        for shard in range(self.settings.shards):
            if shard in claims:
                owners[shard] = claims[shard][1]
                continue
            chosen = assignment.choose_owner(
                shard,
                [
                    name
                    for name in candidates
                    if not self.is_declined(shard, name, now)
                ],
                loads,
                self.settings.shards,
            )
            owners[shard] = chosen
            if chosen is not None:
                loads[chosen] = loads.get(chosen, 0) + 1
        return owners

    def is_declined(self, shard: int, name: str, now: float) -> bool:
        """Returns whether an entry does not take a shard for now."""
        if name == self.settings.name:
            return now < self.declined_until.get(shard, 0.0)
        told = self.detector.told.get(name)
        return told is not None and shard in told.declined

    def decline(self, shard: int) -> None:
        """Leaves a shard, none of whose workers answers, to the others."""
        now = time.monotonic()
        others = [
            name
            for name in self.list_candidates(now)
            if name != self.settings.name
            and not self.is_declined(shard, name, now)
        ]
        if self.draining or not others or shard not in self.owners:
            return
        log.warning("shard_declined", extra={"shard": shard})
        self.declined_until[shard] = now + DECLINE_S
        greenlets.spawn_vital(self.release_owner, shard)

    def reassign(self) -> None:
        """Starts and stops owners after a change of members or claims."""
        now = time.monotonic()
        owners = self.find_owners(now)
        for shard, name in owners.items():
            mine = name == self.settings.name and not self.draining
            if mine and shard not in self.owners and self.may_start(shard, now):
                self.start_owner(shard)
            elif not mine and shard in self.owners and not self.draining:
                self.stop_owner(shard)
            if self.known_owners.get(shard) != name:
                self.known_owners[shard] = name
                self.front.resend(shard)
        metrics.shards_owned.set(len(self.owners))

    def may_start(self, shard: int, now: float) -> bool:
        """Returns whether a shard may be taken now.

        A new entry first hears what the others own, and one that lost a
        shard leaves the other time to tell.
        """
        if now - self.lost_at.get(shard, 0.0) < LOST_PAUSE_S:
            return False
        return self.detector.is_settled(self.membership.members, now)

    def rebalance(self, now: float) -> None:
        """Hands one shard over when this entry owns more than its part."""
        if self.draining or now - self.balanced_at < REBALANCE_S:
            return
        self.balanced_at = now
        ready = [shard for shard, each in self.owners.items() if each.ready]
        surplus = assignment.find_surplus(
            ready, len(self.list_candidates(now)), self.settings.shards
        )
        if surplus is not None:
            greenlets.spawn_vital(self.release_owner, surplus)

    def start_owner(self, shard: int) -> None:
        """Begins to own a shard."""
        owner = owner_shard.ShardOwner(
            shard=shard,
            settings=self.settings,
            client=self.client,
            send=self.send,
            get_entitlements=self.lists.get_entitlements,
            on_lost=self.lose_shard,
            on_ready=self.announce,
            on_cut=self.decline,
            count_entries=lambda: len(self.membership.members),
            is_member=lambda name: name in self.membership.members,
            instances_client=self.instances_client,
        )
        self.owners[shard] = owner
        owner.start()

    def stop_owner(self, shard: int) -> None:
        """Gives a shard up."""
        self.owners.pop(shard).stop()
        log.info("shard_given_up", extra={"shard": shard})
        self.announce()

    def release_owner(self, shard: int) -> None:
        """Hands a shard over: keeps what waits, then tells the others."""
        owner = self.owners.get(shard)
        if owner is None or not owner.deciding:
            return
        self.lost_at[shard] = time.monotonic()
        owner.release()
        self.owners.pop(shard, None)
        self.announce()

    def release_all(self) -> None:
        """Hands every shard over, for a drain."""
        self.draining = True
        gevent.joinall(
            [gevent.spawn(self.release_owner, shard) for shard in self.owners]
        )
        self.announce()

    def lose_shard(self, shard: int) -> None:
        """Gives up a shard that another entry took."""
        if shard in self.owners:
            self.lost_at[shard] = time.monotonic()
            self.stop_owner(shard)

    def announce(self) -> None:
        """Tells every peer at once what this entry owns."""
        for peer in self.peers.values():
            peer.outbox.pending.set()
        self.reassign()

    def change_entitlements(self) -> None:
        """Passes newly accepted lists on to the owners."""
        for owner in self.owners.values():
            owner.entitlements.change()

    def send_to_owner(self, shard: int, field: str, message: object) -> bool:
        """Sends a message to the owner of a shard.

        Returns:
            False when no owner is known; the message is dropped.
        """
        name = self.known_owners.get(shard)
        if name is None:
            return False
        return self.send(name, field, message)

    def send(self, name: str, field: str, message: object) -> bool:
        """Sends a message to an entry, itself included.

        Returns:
            False when the entry is not known; the message is dropped.
        """
        if name == self.settings.name:
            self.local.send(field, message)
            return True
        peer = self.peers.get(name)
        if peer is None:
            return False
        peer.send(field, message)
        return True

    def build_envelope(self) -> messages.Envelope:
        """Returns an envelope with what this entry tells about itself."""
        return messages.Envelope(
            sender=self.settings.name,
            heads=self.lists.get_heads(),
            status=self.build_status(),
        )

    def build_status(self) -> messages.Status:
        """Returns what this entry tells about itself."""
        return messages.Status(
            claims=[
                messages.Claim(shard=shard, term=owner.journal.term)
                for shard, owner in self.owners.items()
                if owner.owning
            ],
            draining=self.draining,
            declined=[
                shard
                for shard, until in self.declined_until.items()
                if time.monotonic() < until
            ],
            heard=self.detector.list_heard(time.monotonic()),
        )

    def take_heads(self, heads: list[messages.ListHead] | None) -> None:
        """Passes revisions that a peer told on to the lists."""
        if heads:
            self.lists.take_heads(heads)

    def take_receipt(self, name: str, receipt: messages.Receipt) -> None:
        """Takes in what a peer answered."""
        self.take_heads(receipt.heads)
        now = time.monotonic()
        if self.detector.take(name, receipt.status, now, answered=True):
            self.reassign()

    def deliver(self, envelope: messages.Envelope) -> messages.Receipt:
        """Takes in an envelope from an entry, itself included."""
        sender = envelope.sender
        if sender != self.settings.name:
            self.take_heads(envelope.heads)
            now = time.monotonic()
            if self.detector.take(sender, envelope.status, now, answered=False):
                self.reassign()
        for notice in envelope.notices or ():
            self.front.take_notice(notice)
        for dispatch in envelope.dispatches or ():
            self.front.dispatches.take(dispatch)
        self.deliver_to_owners(envelope)
        return messages.Receipt(
            receiver=self.settings.name,
            heads=self.lists.get_heads() if envelope.heads else [],
            status=self.build_status(),
        )

    def deliver_to_owners(self, envelope: messages.Envelope) -> None:
        """Hands each part to its owner.

        A part for a shard that is not owned here is dropped: the receipt
        tells what is, and the sender repeats.
        """
        for shard, part in envelopes.split(envelope).items():
            owner = self.owners.get(shard)
            if owner is not None and owner.ready:
                owner.take_envelope(part)

    def list_jobs(self, request: messages.ListRequest) -> messages.ListReply:
        """Lists a workspace's jobs in one shard this entry owns."""
        owner = self.owners.get(request.shard)
        if owner is None or not owner.ready:
            return messages.ListReply(owner=False)
        return listing.list_jobs(owner, request)

    def find_jobs(self, request: messages.ListRequest) -> messages.ListReply:
        """Lists a workspace's jobs in one shard, whoever owns it."""
        name = self.known_owners.get(request.shard)
        if name == self.settings.name:
            return self.list_jobs(request)
        member = self.membership.members.get(name or "")
        reply = None
        if member is not None:
            reply = peers.list_jobs(member.peer_address, request)
        return reply or messages.ListReply(owner=False)
