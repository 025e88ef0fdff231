"""Tests of shards that are taken, stay and move."""

import unittest

import gevent

from hickoryreach.wire import messages
from hickoryreach_entry import detector
from hickoryreach_entry import ownership
from tests.entry import entries


class OwnershipTest(entries.RouterCase):
    """What an entry takes, hands over and gives up."""

    def test_a_joining_entry_takes_nothing_from_a_live_owner(self):
        self.join(*entries.NAMES)
        self.tell("e2", {shard: 3 for shard in range(6)})
        self.tell("e3", {})
        self.clock.move(1.0)
        self.router.ownership.reassign()
        self.assertEqual(self.router.ownership.owners, {})
        self.assertEqual(
            set(self.router.ownership.known_owners.values()), {"e2"}
        )

    def test_a_new_entry_takes_nothing_before_it_has_heard_the_others(self):
        self.join(*entries.NAMES)
        self.assertEqual(self.router.ownership.owners, {})
        self.clock.move(detector.HEARD_S + 0.1)
        self.router.ownership.reassign()
        self.assertTrue(self.router.ownership.owners)

    def test_an_entry_alone_takes_all_at_once(self):
        self.join("e1")
        self.assertEqual(set(self.router.ownership.owners), set(range(6)))

    def test_a_higher_claim_ends_ones_own(self):
        self.join(*entries.NAMES)
        self.tell("e2", {})
        self.tell("e3", {})
        mine = set(self.router.ownership.owners)
        self.own(*mine)
        first = min(mine)
        self.tell("e2", {first: 4})
        self.assertIn(first, self.router.ownership.owners)
        self.tell("e2", {first: 9})
        self.assertNotIn(first, self.router.ownership.owners)
        self.assertEqual(self.router.ownership.known_owners[first], "e2")

    def test_shards_of_a_suspected_owner_are_taken(self):
        self.join(*entries.NAMES)
        self.tell("e2", {shard: 3 for shard in range(6)})
        self.tell("e3", {})
        self.clock.move(detector.HEARD_S + 0.1)
        status = messages.Status(heard=["e1"])
        self.router.deliver(messages.Envelope(sender="e3", status=status))
        self.router.ownership.reassign()
        self.assertEqual(len(self.router.ownership.owners), 3)

    def test_a_drain_hands_all_over_and_takes_nothing(self):
        self.join("e1")
        self.own(*range(6))
        self.router.ownership.release_all()
        self.router.ownership.reassign()
        self.assertEqual(self.router.ownership.owners, {})
        self.assertEqual(self.router.build_status().claims, [])
        self.assertTrue(self.router.build_status().draining)

    def test_a_shard_whose_workers_are_out_of_reach_goes_to_another(self):
        self.join(*entries.NAMES)
        self.tell("e2", {})
        self.tell("e3", {})
        mine = min(self.router.ownership.owners)
        self.own(*self.router.ownership.owners)
        self.router.ownership.decline(mine)
        gevent.sleep(0)
        self.assertNotIn(mine, self.router.ownership.owners)
        self.assertEqual(self.router.build_status().declined, [mine])
        self.assertIn(self.router.ownership.known_owners[mine], ("e2", "e3"))
        self.tell("e2", {}, declined=[mine])
        self.assertEqual(self.router.ownership.known_owners[mine], "e3")

    def test_an_entry_alone_declines_nothing(self):
        self.join("e1")
        self.own(*range(6))
        self.router.ownership.decline(2)
        self.assertIn(2, self.router.ownership.owners)

    def test_a_lost_shard_is_not_taken_back_at_once(self):
        self.join("e1")
        self.own(*range(6))
        self.router.ownership.lose_shard(2)
        self.router.ownership.reassign()
        self.assertNotIn(2, self.router.ownership.owners)
        self.clock.move(ownership.LOST_PAUSE_S + 0.1)
        self.router.ownership.reassign()
        self.assertIn(2, self.router.ownership.owners)


if __name__ == "__main__":
    unittest.main()
