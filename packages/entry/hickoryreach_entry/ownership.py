"""Who owns each shard, and the owners that run in this entry."""

from collections.abc import Callable
import logging
import time

import gevent

from hickoryreach.structure import workspaces
from hickoryreach.trial import store
from hickoryreach_entry import assignment
from hickoryreach_entry import detector
from hickoryreach_entry import greenlets
from hickoryreach_entry import membership
from hickoryreach_entry import metrics
from hickoryreach_entry.config import settings as entry_settings
from hickoryreach_entry.owner import shard as owner_shard

log = logging.getLogger(__name__)

LOST_PAUSE_S = 1.0
DECLINE_S = 15.0
REBALANCE_S = 10.0


class Ownership:
    """Takes, hands over and gives up shards.

    Attributes:
        membership: Entries of the cell.
        detector: What the other entries told.
        send: Sends a message to an entry, itself included.
        announce: Tells every peer at once what this entry owns.
        note_term: Is told of each term that is claimed for a shard.
        resend: Is told of each shard whose owner has changed.
        owners: Shards this entry owns.
        known_owners: Who owns, or is to take, each shard.
        lost_at: Time, in s, by shard, when this entry gave it up.
        declined_until: Time, in s, by shard, before which it is not taken.
        draining: Whether this entry gives up its shards.
    """

    def __init__(
        self,
        *,
        settings: entry_settings.Settings,
        client: store.Store,
        members: membership.Membership,
        heard: detector.Detector,
        get_entitlements: Callable[[], tuple[workspaces.Entitlement, ...]],
        send: Callable[[str, str, object], bool],
        announce: Callable[[], None],
        note_term: Callable[[int, int], None],
        resend: Callable[[int], None],
    ) -> None:
        """Creates an ownership of nothing."""
        self.settings = settings
        self.client = client
        self.membership = members
        self.detector = heard
        self.get_entitlements = get_entitlements
        self.send = send
        self.announce = announce
        self.note_term = note_term
        self.resend = resend
        self.owners: dict[int, owner_shard.ShardOwner] = {}
        self.known_owners: dict[int, str | None] = {}
        self.lost_at: dict[int, float] = {}
        self.declined_until: dict[int, float] = {}
        self.draining = False
        self.balanced_at = time.monotonic()
        self.instances_client = client
        if settings.instances_url:
            self.instances_client = store.Store(url=settings.instances_url)

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
            self.note_term(shard, term)
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
                self.resend(shard)
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
            get_entitlements=self.get_entitlements,
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

    def change_entitlements(self) -> None:
        """Passes newly accepted lists on to the owners."""
        for owner in self.owners.values():
            owner.entitlements.change()
