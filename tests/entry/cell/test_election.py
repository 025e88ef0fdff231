"""Tests of how an entry finds the owner or takes over."""

import types
import unittest
from unittest import mock

from returns import result

from hickoryreach.platform import store
from hickoryreach.wire import frames
from hickoryreach_entry.cell import channel
from hickoryreach_entry.cell import election
from hickoryreach_entry.cell import records


class InvitationTest(unittest.TestCase):
    """An owner that hands over is replaced once."""

    def test_an_invitation_ends_with_the_next_owner(self) -> None:
        found = election.Election(member=types.SimpleNamespace(owner=None))
        found.owner_lookup.record_peers = lambda peers: None
        found.owner_channel = types.SimpleNamespace()
        found.ownership = records.Ownership(name="a", address="", epoch=2)
        status = frames.Status(epoch=2, succession=[], leaving=True)
        found.handle_status(found.owner_channel, status)
        self.assertTrue(found.is_owner_leaving())
        found.ownership = records.Ownership(name="b", address="", epoch=3)
        found.handle_status(found.owner_channel, status)
        self.assertFalse(found.is_owner_leaving())


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
        member.handle = lambda peer, name, message: self.election.handle_status(
            peer, message
        )
        self.election = election.Election(member=member)
        self.found = records.Ownership(
            name="b", address=f"127.0.0.1:{server.server_port}", epoch=3
        )

    def test_an_entry_that_claims_is_not_refused(self) -> None:
        self.claiming = True
        self.assertFalse(self.election.join(self.found))
        self.assertEqual(self.election.failure_detector.refused, 0)
        self.assertGreater(self.election.peer_claiming_at, 0)

    def test_an_entry_that_claims_nothing_has_lost_its_ownership(self) -> None:
        self.assertFalse(self.election.join(self.found))
        self.assertEqual(self.election.failure_detector.refused, 3)


class SuccessionTest(unittest.TestCase):
    """The first of the succession takes over without reading."""

    def setUp(self) -> None:
        """Knows an owner whose process is gone."""
        me = frames.PeerInfo(name="me", address="")
        client = mock.Mock()
        client.health.failing_since = 0.0
        client.get.side_effect = lambda key: result.Success(self.item)
        member = types.SimpleNamespace(owner=None, me=me, client=client)
        self.election = election.Election(member=member)
        self.election.status = frames.Status(epoch=1, succession=[me])
        self.election.ownership = self.name("a", 1)
        self.election.failure_detector.refused = 1
        self.election.join = mock.Mock(return_value=False)
        self.election.wait_for_predecessors = mock.Mock(return_value=True)
        self.election.take_over = mock.Mock(return_value=True)
        self.show("a", 1, revision=10)

    def name(self, name: str, epoch: int) -> records.Ownership:
        """Returns an ownership."""
        return records.Ownership(name=name, address="", epoch=epoch)

    def show(self, name: str, epoch: int, revision: int) -> None:
        """Lets the store name an owner."""
        data = records.encode_ownership(self.name(name, epoch))
        self.item = store.Item(
            key=records.OWNER_KEY, data=data, revision=revision
        )

    def test_it_takes_over_under_the_revision_that_it_knows(self) -> None:
        self.election.seek()
        self.assertTrue(self.election.take_over_as_successor())
        (item, found), _ = self.election.take_over.call_args
        self.assertEqual((item.revision, found.epoch), (10, 1))

    def test_an_owner_that_has_not_greeted_is_not_passed_over(self) -> None:
        self.show("b", 2, revision=20)
        self.election.failure_detector.has_failed = mock.Mock(
            return_value=False
        )
        self.election.seek()
        self.assertFalse(self.election.take_over_as_successor())
        self.election.take_over.assert_not_called()
