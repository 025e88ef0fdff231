"""Tests of how an entry follows the owner or takes over."""

import types
import unittest
from unittest import mock

from returns import result

from hickoryreach.platform import store
from hickoryreach.wire import frames
from hickoryreach_entry.cell import cell_clock
from hickoryreach_entry.cell import channel
from hickoryreach_entry.cell import election
from hickoryreach_entry.cell import records


class LeavingOwnerTest(unittest.TestCase):
    """An owner that hands over is replaced only once."""

    def test_handover_ends_with_the_next_owner(self) -> None:
        follower = election.Election(
            member=types.SimpleNamespace(
                owner=None, cell_clock=cell_clock.CellClock()
            )
        )
        follower.owner_lookup.record_peers = lambda peers: None
        follower.owner_channel = types.SimpleNamespace()
        follower.ownership = records.Ownership(name="a", address="", epoch=2)
        status = frames.Status(epoch=2, succession=[], leaving=True)
        follower.handle_status(follower.owner_channel, status)
        self.assertTrue(follower.is_owner_leaving())
        follower.ownership = records.Ownership(name="b", address="", epoch=3)
        follower.handle_status(follower.owner_channel, status)
        self.assertFalse(follower.is_owner_leaving())


class PeerClaimingTest(unittest.TestCase):
    """An entry that is still writing the owner's key has not failed."""

    def setUp(self) -> None:
        """Serves a peer that is not the owner."""
        self.claiming = False

        def handle(peer, name, message):
            peer.send(status=frames.Status(epoch=0, claiming=self.claiming))

        server = channel.serve("127.0.0.1:0", handle, lambda peer: None)
        self.addCleanup(server.stop, 0)
        own_info = frames.PeerInfo(name="me", address="")
        member = types.SimpleNamespace(
            owner=None, own_info=own_info, cell_clock=cell_clock.CellClock()
        )
        member.handle = lambda peer, name, message: self.election.handle_status(
            peer, message
        )
        self.election = election.Election(member=member)
        self.peer = records.Ownership(
            name="b", address=f"127.0.0.1:{server.server_port}", epoch=3
        )

    def test_a_claiming_peer_is_not_recorded_as_refusing(self) -> None:
        self.claiming = True
        self.assertFalse(self.election.follow(self.peer))
        self.assertEqual(self.election.detector.refused, 0)
        self.assertGreater(self.election.peer_claiming_at, 0)

    def test_a_peer_that_is_not_claiming_is_recorded_as_refusing(self) -> None:
        self.assertFalse(self.election.follow(self.peer))
        self.assertEqual(self.election.detector.refused, 3)


class SuccessionTest(unittest.TestCase):
    """The first in the succession takes over without a read."""

    def setUp(self) -> None:
        """Follows an owner whose process is gone."""
        own_info = frames.PeerInfo(name="me", address="")
        client = mock.Mock()
        client.health.failing_since = 0.0
        client.get.side_effect = lambda key: result.Success(self.item)
        member = types.SimpleNamespace(
            owner=None, own_info=own_info, client=client
        )
        self.election = election.Election(member=member)
        self.election.last_status.record(
            frames.Status(epoch=1, succession=[own_info])
        )
        self.election.ownership = self.name("a", 1)
        self.election.detector.refused = 1
        self.election.follow = mock.Mock(return_value=False)
        self.election.wait_for_predecessors = mock.Mock(return_value=True)
        self.election.take_over = mock.Mock(return_value=True)
        self.store_owner("a", 1, revision=10)

    def name(self, name: str, epoch: int) -> records.Ownership:
        """Returns an ownership."""
        return records.Ownership(name=name, address="", epoch=epoch)

    def store_owner(self, name: str, epoch: int, revision: int) -> None:
        """Makes the store name an owner."""
        data = records.encode_ownership(self.name(name, epoch))
        self.item = store.Item(
            key=records.OWNER_KEY, data=data, revision=revision
        )

    def test_requires_the_revision_last_read(self) -> None:
        self.election.find_or_replace_owner()
        self.assertTrue(self.election.take_over_as_successor())
        (item, replaced), _ = self.election.take_over.call_args
        self.assertEqual((item.revision, replaced.epoch), (10, 1))

    def test_a_newer_owner_without_a_status_is_not_replaced(self) -> None:
        self.store_owner("b", 2, revision=20)
        self.election.detector.has_failed = mock.Mock(return_value=False)
        self.election.find_or_replace_owner()
        self.assertFalse(self.election.take_over_as_successor())
        self.election.take_over.assert_not_called()


class SilentMinionsTest(unittest.TestCase):
    """What the previous owner reported of its silent minions."""

    def setUp(self) -> None:
        """Follows an owner."""
        own_info = frames.PeerInfo(name="me", address="")
        member = types.SimpleNamespace(
            owner=None,
            own_info=own_info,
            handle=mock.Mock(),
            cell_clock=cell_clock.CellClock(),
        )
        self.election = election.Election(member=member)
        self.election.owner_channel = mock.Mock()
        self.owner = records.Ownership(name="a", address="127.0.0.1:1", epoch=2)

    def hear(self, **words) -> None:
        """Hears a status that names a silent minion."""
        status = frames.Status(
            epoch=2, succession=[], silent={"m0": 900}, **words
        )
        self.election.handle_status(self.election.owner_channel, status)

    def list_silent(self) -> dict[str, int]:
        """Returns what this entry would assume as the next owner."""
        return self.election.last_status.get_silent_minions(3)

    def test_a_leaving_owner_has_granted_nothing_since(self) -> None:
        self.hear(leaving=True)
        self.assertFalse(self.election.follow(self.owner))
        self.assertEqual(self.list_silent(), {"m0": 900})

    def test_a_killed_owner_may_have_reached_them_again(self) -> None:
        self.hear()
        self.assertFalse(self.election.follow(self.owner))
        self.assertEqual(self.list_silent(), {})

    def test_a_silent_owner_may_have_reached_them_again(self) -> None:
        self.hear()
        self.assertEqual(self.list_silent(), {})

    def test_not_reported_as_heard_after_a_refused_connection(self) -> None:
        self.hear()
        self.election.follow(self.owner)
        self.assertFalse(self.election.report().heard)

    def test_unknown_after_a_suspension(self) -> None:
        self.hear(leaving=True)
        resumed_at = self.election.last_status.received_at + 5.0
        with mock.patch("time.clock_gettime", return_value=resumed_at):
            self.assertEqual(self.list_silent(), {})
