"""Routes messages between this entry, its peers and the shards it owns."""

import time

import gevent

from hickoryreach.trial import store
from hickoryreach.wire import messages
from hickoryreach_entry import detector
from hickoryreach_entry import envelopes
from hickoryreach_entry import front
from hickoryreach_entry import greenlets
from hickoryreach_entry import listing
from hickoryreach_entry import lists
from hickoryreach_entry import membership
from hickoryreach_entry import ownership
from hickoryreach_entry import peers
from hickoryreach_entry.config import settings as entry_settings

REVIEW_S = 0.25


class Router:
    """Knows the way to each entry and to the owner of each shard.

    Attributes:
        ownership: Who owns each shard, and the owners that run here.
        peers: Connections to other entries, by name.
        front: Callers of this entry.
        detector: What the other entries told.
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
        self.membership = members
        self.lists = in_force
        self.peers: dict[str, peers.Peer] = {}
        self.heard: list[str] = []
        self.detector = detector.Detector(name=settings.name)
        self.local = peers.LocalPeer(
            build_envelope=self.build_envelope, deliver=self.deliver
        )
        self.front = front.Front(
            name=settings.name, send_to_owner=self.send_to_owner
        )
        self.ownership = ownership.Ownership(
            settings=settings,
            client=client,
            members=members,
            heard=self.detector,
            get_entitlements=in_force.get_entitlements,
            send=self.send,
            announce=self.announce,
            note_term=self.front.dispatches.note_term,
            resend=self.front.resend,
        )
        members.is_heard = lambda name: self.detector.is_heard(
            name, time.monotonic()
        )
        members.listeners.append(self.change_members)
        in_force.listeners.append(self.ownership.change_entitlements)

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
            self.ownership.reassign()
            self.ownership.rebalance(time.monotonic())

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
        self.ownership.reassign()

    def note_refused(self, name: str) -> None:
        """Notes an entry that does not listen any more."""
        if self.detector.note_refused(name):
            self.announce()

    def announce(self) -> None:
        """Tells every peer at once what this entry owns."""
        for peer in self.peers.values():
            peer.outbox.pending.set()
        self.ownership.reassign()

    def send_to_owner(self, shard: int, field: str, message: object) -> bool:
        """Sends a message to the owner of a shard.

        Returns:
            False when no owner is known; the message is dropped.
        """
        name = self.ownership.known_owners.get(shard)
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
                for shard, owner in self.ownership.owners.items()
                if owner.owning
            ],
            draining=self.ownership.draining,
            declined=[
                shard
                for shard, until in self.ownership.declined_until.items()
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
            self.ownership.reassign()

    def deliver(self, envelope: messages.Envelope) -> messages.Receipt:
        """Takes in an envelope from an entry, itself included."""
        sender = envelope.sender
        if sender != self.settings.name:
            self.take_heads(envelope.heads)
            now = time.monotonic()
            if self.detector.take(sender, envelope.status, now, answered=False):
                self.ownership.reassign()
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
            owner = self.ownership.owners.get(shard)
            if owner is not None and owner.ready:
                owner.take_envelope(part)

    def list_jobs(self, request: messages.ListRequest) -> messages.ListReply:
        """Lists a workspace's jobs in one shard this entry owns."""
        owner = self.ownership.owners.get(request.shard)
        if owner is None or not owner.ready:
            return messages.ListReply(owner=False)
        return listing.list_jobs(owner, request)

    def find_jobs(self, request: messages.ListRequest) -> messages.ListReply:
        """Lists a workspace's jobs in one shard, whoever owns it."""
        name = self.ownership.known_owners.get(request.shard)
        if name == self.settings.name:
            return self.list_jobs(request)
        member = self.membership.members.get(name or "")
        reply = None
        if member is not None:
            reply = peers.list_jobs(member.peer_address, request)
        return reply or messages.ListReply(owner=False)
