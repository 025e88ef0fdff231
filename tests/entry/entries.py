"""Entry e1 among three, with owners that decide nothing."""

import unittest
from unittest import mock

from hickoryreach.wire import messages
from hickoryreach_entry import membership
from hickoryreach_entry import ownership
from hickoryreach_entry import peers
from hickoryreach_entry import router
from hickoryreach_entry.config import settings as entry_settings
from tests.entry import fakes

NAMES = ("e1", "e2", "e3")


class FakeLists:
    """Operators' lists that tell and take heads."""

    def __init__(self) -> None:
        """Creates lists without heads."""
        self.listeners: list = []
        self.taken: list = []

    def get_entitlements(self) -> tuple:
        """Returns no entitlement."""
        return ()

    def get_heads(self) -> list:
        """Returns one head."""
        return [messages.ListHead(name="plans", revision=7)]

    def take_heads(self, heads: list) -> None:
        """Keeps what came."""
        self.taken += heads


class FakeOwner:
    """An owner that decides nothing."""

    def __init__(self, *, shard: int, **kwargs) -> None:
        """Creates an owner that is not ready."""
        self.shard = shard
        self.on_lost = kwargs["on_lost"]
        self.ready = False
        self.owning = False
        self.deciding = True
        self.journal = mock.Mock(term=0)
        self.taken: list = []

    def start(self) -> None:
        """Starts nothing."""

    def stop(self) -> None:
        """Stops owning."""
        self.ready = self.owning = False

    release = stop

    def take_envelope(self, envelope: messages.Envelope) -> None:
        """Keeps what came."""
        self.taken.append(envelope)


class RouterCase(unittest.TestCase):
    """Entry e1 among three."""

    def setUp(self):
        self.clock = fakes.Clock()
        self.enterContext(self.clock.in_force())
        self.enterContext(mock.patch.object(peers, "Peer"))
        self.enterContext(
            mock.patch.object(ownership.owner_shard, "ShardOwner", FakeOwner)
        )
        self.lists = FakeLists()
        self.members = membership.Membership(
            client=fakes.FakeStore(), me=self.make_member("e1"), lease_s=4.0
        )
        self.router = router.Router(
            settings=entry_settings.Settings(
                name="e1", failure_domain="a", shards=6
            ),
            client=fakes.FakeStore(),
            members=self.members,
            in_force=self.lists,
        )
        self.addCleanup(self.router.local.close)

    def make_member(self, name: str) -> membership.Member:
        """Returns a member."""
        return membership.Member(
            name=name, peer_address="127.0.0.1:1", failure_domain="a"
        )

    def join(self, *names: str) -> None:
        """Makes entries members."""
        for name in names:
            self.members.stored[name] = self.make_member(name)
        self.members.refresh()

    def tell(self, name: str, claims: dict[int, int], **fields) -> None:
        """Delivers what an entry tells about itself."""
        self.router.deliver(
            messages.Envelope(
                sender=name,
                status=messages.Status(
                    claims=[
                        messages.Claim(shard=shard, term=term)
                        for shard, term in claims.items()
                    ],
                    heard=list(NAMES),
                    **fields,
                ),
            )
        )

    def own(self, *shards: int, term: int = 5) -> None:
        """Lets owners of this entry become ready."""
        for shard in shards:
            owner = self.router.ownership.owners[shard]
            owner.ready = owner.owning = True
            owner.journal.term = term
