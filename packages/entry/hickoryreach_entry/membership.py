"""Membership of this instance, and the members it knows."""

from collections.abc import Callable
import dataclasses
import logging

import gevent
import orjson
from returns import result

from hickoryreach.trial import store
from hickoryreach_entry import greenlets
from hickoryreach_entry import metrics

log = logging.getLogger(__name__)

PREFIX = "hickoryreach/members/"
WATCH_WAIT_S = 30.0
RETRY_S = 0.5
RENEWALS_PER_LEASE = 3


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Member:
    """One live entry instance.

    Attributes:
        name: Its name.
        peer_address: `host:port` other entries reach.
        failure_domain: Where it stands.
        draining: Whether it gives up its shards.
    """

    name: str
    peer_address: str
    failure_domain: str
    draining: bool = False


class Membership:
    """Keeps this instance listed, and watches the others.

    While the store does not answer, the members last read stay known. A
    member whose record vanished stays too while it is heard: after an outage
    leases may have lapsed that their holders could not renew.

    Attributes:
        me: This instance.
        members: Members by name.
        stored: Members as last read.
        is_heard: Whether a member answered a short while ago.
        listeners: Called without arguments after a change.
    """

    def __init__(
        self, *, client: store.Store, me: Member, lease_s: float
    ) -> None:
        """Creates a membership that is not announced yet."""
        self.client = client
        self.me = me
        self.lease_s = lease_s
        self.lease = ""
        self.left = False
        self.stored: dict[str, Member] = {}
        self.members: dict[str, Member] = {}
        self.is_heard: Callable[[str], bool] = lambda name: False
        self.listeners: list = []

    def start(self) -> None:
        """Begins to renew and to watch."""
        self.announce()
        greenlets.spawn_vital(self.renew_forever)
        greenlets.spawn_vital(self.watch_forever)

    def announce(self) -> None:
        """Writes this instance's record under a lease."""
        if not self.lease:
            created = self.client.create_lease(
                ttl_s=self.lease_s, name=self.me.name
            )
            self.lease = created.value_or("")
        if not self.lease:
            return
        written = self.client.put_if(
            PREFIX + self.me.name,
            orjson.dumps(self.me),
            index=0,
            lease=self.lease,
        )
        if isinstance(written, result.Failure):
            log.warning("member_write_failed", extra={"member": self.me.name})
            self.lease = ""

    def drain(self) -> None:
        """Tells the others that this instance gives up its shards."""
        self.me = dataclasses.replace(self.me, draining=True)
        self.announce()

    def leave(self) -> None:
        """Ends the lease, so that the record vanishes at once."""
        self.left = True
        if self.lease:
            self.client.drop_lease(self.lease)

    def renew_forever(self) -> None:
        """Renews the lease, and announces anew once it has lapsed."""
        while not self.left:
            gevent.sleep(self.lease_s / RENEWALS_PER_LEASE)
            if self.left:
                return
            alive = self.lease and self.client.renew_lease(self.lease)
            if not alive or alive == result.Success(False):
                self.lease = ""
                self.announce()

    def watch_forever(self) -> None:
        """Follows the members."""
        index = 0
        while not self.left:
            read = self.client.watch(
                PREFIX, index=index, wait_s=WATCH_WAIT_S, recurse=True
            )
            if isinstance(read, result.Failure):
                gevent.sleep(RETRY_S)
                continue
            snapshot = read.unwrap()
            restored = snapshot.index < index
            index = 0 if restored else snapshot.index
            self.take(snapshot)

    def take(self, snapshot: store.Snapshot) -> None:
        """Takes in the members read."""
        members = [
            Member(**orjson.loads(value.data)) for value in snapshot.values
        ]
        self.stored = {member.name: member for member in members}
        self.refresh()

    def refresh(self) -> None:
        """Works the members out again."""
        kept = {
            name: member
            for name, member in self.members.items()
            if name not in self.stored
            and not member.draining
            and (name == self.me.name or self.is_heard(name))
        }
        known = {**kept, **self.stored}
        if known == self.members:
            return
        self.members = known
        metrics.members_known.set(len(known))
        log.info("members_changed", extra={"members": sorted(known)})
        for listener in self.listeners:
            listener()
