"""Tests of shards that stay, move and are routed to."""

import unittest
from unittest import mock

from hickoryreach.wire import messages
from hickoryreach_entry import detector
from hickoryreach_entry import membership
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


class RouterTest(unittest.TestCase):
    """Entry e1 among three."""

    def setUp(self):
        self.clock = fakes.Clock()
        self.enterContext(self.clock.in_force())
        self.enterContext(mock.patch.object(peers, "Peer"))
        self.enterContext(
            mock.patch.object(router.owner_shard, "ShardOwner", FakeOwner)
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
            owner = self.router.owners[shard]
            owner.ready = owner.owning = True
            owner.journal.term = term

    def test_a_joining_entry_takes_nothing_from_a_live_owner(self):
        self.join(*NAMES)
        self.tell("e2", {shard: 3 for shard in range(6)})
        self.tell("e3", {})
        self.clock.move(1.0)
        self.router.reassign()
        self.assertEqual(self.router.owners, {})
        self.assertEqual(set(self.router.known_owners.values()), {"e2"})

    def test_a_new_entry_takes_nothing_before_it_has_heard_the_others(self):
        self.join(*NAMES)
        self.assertEqual(self.router.owners, {})
        self.clock.move(detector.HEARD_S + 0.1)
        self.router.reassign()
        self.assertTrue(self.router.owners)

    def test_an_entry_alone_takes_all_at_once(self):
        self.join("e1")
        self.assertEqual(set(self.router.owners), set(range(6)))

    def test_a_higher_claim_ends_ones_own(self):
        self.join(*NAMES)
        self.tell("e2", {})
        self.tell("e3", {})
        mine = set(self.router.owners)
        self.own(*mine)
        first = min(mine)
        self.tell("e2", {first: 4})
        self.assertIn(first, self.router.owners)
        self.tell("e2", {first: 9})
        self.assertNotIn(first, self.router.owners)
        self.assertEqual(self.router.known_owners[first], "e2")

    def test_shards_of_a_suspected_owner_are_taken(self):
        self.join(*NAMES)
        self.tell("e2", {shard: 3 for shard in range(6)})
        self.tell("e3", {})
        self.clock.move(detector.HEARD_S + 0.1)
        status = messages.Status(heard=["e1"])
        self.router.deliver(messages.Envelope(sender="e3", status=status))
        self.router.reassign()
        self.assertEqual(len(self.router.owners), 3)

    def test_a_drain_hands_all_over_and_takes_nothing(self):
        self.join("e1")
        self.own(*range(6))
        self.router.release_all()
        self.router.reassign()
        self.assertEqual(self.router.owners, {})
        self.assertEqual(self.router.build_status().claims, [])
        self.assertTrue(self.router.build_status().draining)

    def test_a_shard_whose_workers_are_out_of_reach_goes_to_another(self):
        self.join(*NAMES)
        self.tell("e2", {})
        self.tell("e3", {})
        mine = min(self.router.owners)
        self.own(*self.router.owners)
        self.router.decline(mine)
        router.greenlets.gevent.sleep(0)
        self.assertNotIn(mine, self.router.owners)
        self.assertEqual(self.router.build_status().declined, [mine])
        self.assertIn(self.router.known_owners[mine], ("e2", "e3"))
        self.tell("e2", {}, declined=[mine])
        self.assertEqual(self.router.known_owners[mine], "e3")

    def test_an_entry_alone_declines_nothing(self):
        self.join("e1")
        self.own(*range(6))
        self.router.decline(2)
        self.assertIn(2, self.router.owners)

    def test_a_lost_shard_is_not_taken_back_at_once(self):
        self.join("e1")
        self.own(*range(6))
        self.router.lose_shard(2)
        self.router.reassign()
        self.assertNotIn(2, self.router.owners)
        self.clock.move(router.LOST_PAUSE_S + 0.1)
        self.router.reassign()
        self.assertIn(2, self.router.owners)

    def test_messages_go_to_their_owner_and_others_are_dropped(self):
        self.join("e1")
        self.own(0, term=5)
        receipt = self.router.deliver(
            messages.Envelope(
                sender="e2",
                queries=[
                    messages.Query(job_id=job_id, workspace="north")
                    for job_id in ("0.a", "3.b", "nonsense")
                ],
            )
        )
        claims = [(each.shard, each.term) for each in receipt.status.claims]
        self.assertEqual(claims, [(0, 5)])
        self.assertEqual(self.router.owners[3].taken, [])
        taken = self.router.owners[0].taken[0]
        self.assertEqual([each.job_id for each in taken.queries], ["0.a"])

    def test_heads_travel_both_ways(self):
        head = messages.ListHead(name="plans", revision=9)
        receipt = self.router.deliver(
            messages.Envelope(sender="e2", heads=[head])
        )
        self.assertEqual(self.lists.taken, [head])
        self.assertEqual(receipt.heads[0].revision, 7)


if __name__ == "__main__":
    unittest.main()
