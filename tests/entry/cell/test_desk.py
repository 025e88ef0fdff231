"""Tests of what callers are told of the owner's counts."""

import types
import unittest

from hickoryreach.wire import frames
from hickoryreach_entry.cell import channel
from hickoryreach_entry.cell import desk
from hickoryreach_entry.cell import election
from hickoryreach_entry.cell import records


class PendingTest(unittest.TestCase):
    """Counts of waiting jobs."""

    def setUp(self) -> None:
        """Follows an owner."""
        member = types.SimpleNamespace(owner=None)
        self.election = election.Election(member=member)
        self.election.upstream = types.SimpleNamespace()
        self.desk = desk.Desk(member=member, election=self.election)

    def take(self, **words: object) -> None:
        """Takes a status."""
        status = frames.Status(epoch=2, succession=[], **words)
        self.election.take_status(self.election.upstream, status)

    def get(self, after_s: float = 0.0) -> int | None:
        """Returns the count of one queue."""
        self.election.pending_at -= after_s
        return self.desk.get_pending("runs", 2.0)

    def test_an_owner_that_takes_over_has_no_counts(self) -> None:
        self.take(pending={}, serving=False)
        self.assertIsNone(self.get())

    def test_the_last_counts_stand_while_another_takes_over(self) -> None:
        self.take(pending={"runs": 8}, serving=True)
        self.take(pending={}, serving=False)
        self.assertEqual(self.get(), 8)
        self.assertIsNone(self.get(after_s=2.5))


class InvitationTest(unittest.TestCase):
    """An owner that hands over is replaced once."""

    def test_an_invitation_ends_with_the_next_owner(self) -> None:
        found = election.Election(member=types.SimpleNamespace(owner=None))
        found.inquiry.note_peers = lambda peers: None
        found.upstream = types.SimpleNamespace()
        found.ownership = records.Ownership(name="a", address="", epoch=2)
        status = frames.Status(epoch=2, succession=[], leaving=True)
        found.take_status(found.upstream, status)
        self.assertTrue(found.is_invited())
        found.ownership = records.Ownership(name="b", address="", epoch=3)
        found.take_status(found.upstream, status)
        self.assertFalse(found.is_invited())


class ClaimTest(unittest.TestCase):
    """An entry whose takeover is not answered yet is no failed owner."""

    def setUp(self) -> None:
        """Serves an entry that is not the owner."""
        self.claiming = False

        def handle(peer, name, message):
            peer.send(status=frames.Status(epoch=0, claiming=self.claiming))

        server = channel.serve("127.0.0.1:0", handle, lambda peer: None)
        self.addCleanup(server.stop, 0)
        me = frames.PeerInfo(name="me", address="")
        member = types.SimpleNamespace(owner=None, me=me)
        member.handle = lambda peer, name, message: self.election.take_status(
            peer, message
        )
        self.election = election.Election(member=member)
        self.found = records.Ownership(
            name="b", address=f"127.0.0.1:{server.server_port}", epoch=3
        )

    def test_an_entry_that_claims_is_not_refused(self) -> None:
        self.claiming = True
        self.assertFalse(self.election.join(self.found))
        self.assertEqual(self.election.suspicion.refused, 0)
        self.assertGreater(self.election.claimed_at, 0)

    def test_an_entry_that_claims_nothing_has_lost_its_ownership(self) -> None:
        self.assertFalse(self.election.join(self.found))
        self.assertEqual(self.election.suspicion.refused, 3)
