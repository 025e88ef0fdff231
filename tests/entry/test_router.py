"""Tests of what is routed to owners and lists."""

import unittest

from hickoryreach.wire import messages
from tests.entry import entries


class RouterTest(entries.RouterCase):
    """Envelopes of another entry."""

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
        self.assertEqual(self.router.ownership.owners[3].taken, [])
        taken = self.router.ownership.owners[0].taken[0]
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
