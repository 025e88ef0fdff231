"""Routes messages between this entry, its peers and the shards it owns."""

import logging

from hickoryreach.platform import store
from hickoryreach.wire import messages
from hickoryreach_entry import assignment
from hickoryreach_entry import front
from hickoryreach_entry import lists
from hickoryreach_entry import membership
from hickoryreach_entry import peers
from hickoryreach_entry.config import settings as entry_settings
from hickoryreach_entry.owner import shard as owner_shard

log = logging.getLogger(__name__)


class Router:
    """Knows the owner of each shard and the way to each entry.

    Attributes:
        owners: Shards this entry owns.
        peers: Connections to other entries, by name.
        front: Callers of this entry.
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
        self.front = front.Front(
            name=settings.name, send_to_owner=self.send_to_owner
        )
        members.listeners.append(self.reassign)
        in_force.listeners.append(self.change_entitlements)

    def reassign(self) -> None:
        """Starts and stops owners after a change of members."""
        for shard in range(self.settings.shards):
            owner = assignment.choose_owner(
                shard, self.membership.members.values()
            )
            mine = owner is not None and owner.name == self.settings.name
            if mine and shard not in self.owners:
                self.start_owner(shard)
            if not mine and shard in self.owners:
                self.stop_owner(shard)

    def start_owner(self, shard: int) -> None:
        """Begins to own a shard."""
        owner = owner_shard.ShardOwner(
            shard=shard,
            settings=self.settings,
            client=self.client,
            send=self.send,
            get_entitlements=self.lists.get_entitlements,
            on_lost=self.lose_shard,
        )
        self.owners[shard] = owner
        owner.start()

    def stop_owner(self, shard: int) -> None:
        """Gives a shard up."""
        self.owners.pop(shard).stop()
        log.info("shard_given_up", extra={"shard": shard})

    def lose_shard(self, shard: int) -> None:
        """Gives up a shard that another entry took."""
        if shard in self.owners:
            self.stop_owner(shard)

    def change_entitlements(self) -> None:
        """Passes newly accepted lists on to the owners."""
        for owner in self.owners.values():
            owner.change_entitlements()

    def send_to_owner(self, shard: int, field: str, message: object) -> bool:
        """Sends a message to the owner of a shard.

        Returns:
            False when no owner is known; the message is dropped.
        """
        owner = assignment.choose_owner(shard, self.membership.members.values())
        if owner is None:
            return False
        self.send(owner.name, field, message)
        return True

    def send(self, name: str, field: str, message: object) -> None:
        """Sends a message to an entry, itself included."""
        if name == self.settings.name:
            envelope = messages.Envelope(sender=name, **{field: [message]})
            self.deliver(envelope)
            return
        member = self.membership.members.get(name)
        if member is None:
            return
        peer = self.peers.get(name)
        if peer is not None and peer.address != member.peer_address:
            self.peers.pop(name).close()
            peer = None
        if peer is None:
            peer = peers.Peer(
                name=name,
                address=member.peer_address,
                sender=self.settings.name,
                on_receipt=self.take_receipt,
            )
            self.peers[name] = peer
        peer.send(field, message)

    def take_receipt(self, receipt: messages.Receipt) -> None:
        """Takes in what a peer answered."""

    def deliver(self, envelope: messages.Envelope) -> messages.Receipt:
        """Takes in an envelope from an entry, itself included."""
        for notice in envelope.notices or ():
            self.front.take_notice(notice)
        for dispatch in envelope.dispatches or ():
            self.front.take_dispatch(dispatch)
        for owner in self.owners.values():
            if owner.ready:
                owner.take_envelope(self.select(owner.shard, envelope))
        return messages.Receipt(receiver=self.settings.name)

    def select(
        self, shard: int, envelope: messages.Envelope
    ) -> messages.Envelope:
        """Returns the part of an envelope meant for one shard."""

        def belongs(job_id: str) -> bool:
            return not job_id or assignment.shard_of_job(job_id) == shard

        return messages.Envelope(
            sender=envelope.sender,
            submissions=[
                s for s in envelope.submissions or () if belongs(s.job.job_id)
            ],
            queries=[q for q in envelope.queries or () if belongs(q.job_id)],
            cancellations=[
                c for c in envelope.cancellations or () if belongs(c.job_id)
            ],
            outcomes=[o for o in envelope.outcomes or () if belongs(o.job_id)],
        )

    def list_jobs(self, request: messages.ListRequest) -> messages.ListReply:
        """Lists a workspace's jobs in one shard this entry owns."""
        owner = self.owners.get(request.shard)
        if owner is None or not owner.ready:
            return messages.ListReply(owner=False)
        rows = [
            owner_shard.describe_record(record)
            for job_id, record in sorted(owner.state.jobs.items())
            if record.job.workspace == request.workspace
            and job_id > (request.after or "")
            and (not request.wave or record.job.wave == request.wave)
            and (not request.state or record.state == request.state)
        ]
        page = rows[: request.limit]
        after = page[-1].job_id if len(rows) > len(page) else ""
        return messages.ListReply(owner=True, jobs=page, after=after)
