"""Tests of which followers can confirm an ownership."""

import math
import time
import unittest
from unittest import mock

from hickoryreach.platform import store
from hickoryreach.wire import frames
from hickoryreach_entry import clock
from hickoryreach_entry.cell import cell_clock
from hickoryreach_entry.cell import election as election_module
from hickoryreach_entry.cell import follower_quorum
from hickoryreach_entry.cell import member as member_module
from hickoryreach_entry.cell import member_status
from hickoryreach_entry.cell import owner_status
from hickoryreach_entry.cell import records


def build(*expected: str, complete: bool = True):
    """Returns a quorum of entries that have just echoed."""
    quorum = follower_quorum.FollowerQuorum(
        expected=expected, complete=complete
    )
    echo(quorum, *expected)
    return quorum


def echo(quorum, *names: str, age_s: float = 0.0) -> None:
    """Lets entries echo a status."""
    for name in names:
        quorum.record_echo(name, clock.boot_s() - age_s)


def is_confirmed(quorum) -> bool:
    """Returns whether the followers confirm at all."""
    return quorum.get_confirmed_at() > -math.inf


class QuorumCase(unittest.TestCase):
    """Moves the boot clock."""

    def pass_time(self, seconds: float) -> None:
        """Advances the boot clock."""
        now = time.clock_gettime(time.CLOCK_BOOTTIME) + seconds
        patch = mock.patch("time.clock_gettime", return_value=now)
        patch.start()
        self.addCleanup(patch.stop)


class SmallCellTest(QuorumCase):
    """Cells of one, two and four entries."""

    def test_an_owner_without_followers_is_not_confirmed(self) -> None:
        self.assertFalse(is_confirmed(build()))

    def test_the_only_follower_confirms(self) -> None:
        self.assertTrue(is_confirmed(build("b")))

    def test_an_owner_whose_only_follower_left_is_not_confirmed(self) -> None:
        quorum = build("b")
        quorum.record_leaving("b")
        self.assertFalse(is_confirmed(quorum))
        self.assertFalse(quorum.hears_majority())

    def test_half_of_the_entries_confirm_nothing(self) -> None:
        quorum = build("b", "c", "d")
        quorum.record_leaving("c")
        self.assertTrue(is_confirmed(quorum))
        quorum.record_leaving("d")
        self.assertFalse(is_confirmed(quorum))

    def test_half_of_the_entries_are_not_most(self) -> None:
        quorum = build("b", "c", "d")
        self.assertTrue(quorum.hears_majority())
        self.pass_time(follower_quorum.SILENCE_LIMIT_S + 0.1)
        echo(quorum, "b")
        self.assertFalse(quorum.hears_majority())
        echo(quorum, "c")
        self.assertTrue(quorum.hears_majority())


class DepartureTest(QuorumCase):
    """A follower is gone."""

    def test_one_that_is_not_heard_may_have_taken_over(self) -> None:
        quorum = build("b", "c", "d")
        self.pass_time(1.0)
        echo(quorum, "b", "c")
        self.assertLess(quorum.get_confirmed_at(), clock.boot_s() - 0.9)

    def test_one_that_has_left_need_not_confirm(self) -> None:
        quorum = build("b", "c", "d")
        self.pass_time(1.0)
        echo(quorum, "b", "c")
        quorum.record_leaving("d")
        self.assertEqual(quorum.get_confirmed_at(), clock.boot_s())

    def test_one_that_is_back_has_to_confirm(self) -> None:
        quorum = build("b", "c", "d")
        quorum.record_leaving("d")
        quorum.add("d")
        self.assertFalse(is_confirmed(quorum))
        echo(quorum, "d")
        self.assertTrue(is_confirmed(quorum))


class OddEchoTest(unittest.TestCase):
    """A follower echoes what can't be."""

    def test_a_status_from_the_future_confirms_nothing(self) -> None:
        quorum = build()
        quorum.add("b")
        echo(quorum, "b", age_s=-60.0)
        self.assertFalse(is_confirmed(quorum))

    def test_an_unknown_entry_confirms_nothing(self) -> None:
        quorum = build()
        echo(quorum, "b")
        self.assertFalse(is_confirmed(quorum))


class SettlingTest(QuorumCase):
    """What the store's confirmation changes."""

    def test_an_entry_that_was_never_heard_has_to_confirm(self) -> None:
        quorum = follower_quorum.FollowerQuorum(
            expected=["b", "c"], complete=True
        )
        echo(quorum, "b")
        quorum.settle()
        self.assertFalse(is_confirmed(quorum))

    def test_an_absent_entry_is_dropped_after_a_while(self) -> None:
        quorum = build("b", "c")
        self.pass_time(follower_quorum.ABSENCE_LIMIT_S + 0.1)
        echo(quorum, "b")
        quorum.settle()
        self.assertEqual(list(quorum.followers), ["b"])

    def test_unknown_entries_may_exist_for_a_while(self) -> None:
        quorum = build("b", complete=False)
        quorum.settle()
        self.assertFalse(is_confirmed(quorum))
        self.pass_time(follower_quorum.ABSENCE_LIMIT_S + 0.1)
        echo(quorum, "b")
        self.assertFalse(is_confirmed(quorum))
        quorum.settle()
        self.assertTrue(is_confirmed(quorum))


class SuccessorTest(unittest.TestCase):
    """A new owner knows the entries from the last status."""

    def build(self, **words) -> follower_quorum.FollowerQuorum:
        """Returns the quorum of an owner of epoch 3 that follows `a`."""
        last = owner_status.OwnerStatus()
        peers = [frames.PeerInfo(name=name) for name in ("me", "b", "c")]
        last.record(
            frames.Status(**({"epoch": 2, "followers": 3} | words)),
        )
        last.succession = peers
        return follower_quorum.build_successor_quorum(
            epoch=3, own_name="me", previous_name="a", last_status=last
        )

    def test_it_expects_all_others(self) -> None:
        quorum = self.build()
        self.assertEqual(set(quorum.followers), {"a", "b", "c"})
        self.assertTrue(quorum.complete)

    def test_a_cut_list_is_not_complete(self) -> None:
        self.assertFalse(self.build(followers=4).complete)

    def test_the_list_of_an_earlier_owner_is_not_complete(self) -> None:
        self.assertFalse(self.build(epoch=1).complete)


class EchoTest(unittest.TestCase):
    """A follower tells what it has heard, and an owner listens."""

    def setUp(self) -> None:
        """Creates a follower of an owner of epoch 2."""
        self.member = member_module.Member.__new__(member_module.Member)
        self.member.leaving_followers = set()
        self.member.owner = None
        self.member.draining = False
        self.member.store_served_at = {}
        self.member.cell_clock = cell_clock.CellClock()
        self.member.client = mock.Mock()
        self.member.client.health.answered_at = time.monotonic()
        self.member.election = election_module.Election(member=self.member)
        self.member.own_info = frames.PeerInfo(name="b")
        self.election = self.member.election
        self.election.owner_channel = mock.Mock()
        status = frames.Status(epoch=2, succession=[], sent_ms=500)
        self.election.handle_status(self.election.owner_channel, status)

    def test_it_echoes_the_last_status(self) -> None:
        pulse = member_status.build_pulse(self.member)
        self.assertEqual((pulse.epoch, pulse.echoed_ms), (2, 500))

    def test_it_echoes_nothing_while_it_claims_the_cell(self) -> None:
        self.election.claiming = True
        self.assertEqual(member_status.build_pulse(self.member).echoed_ms, 0)

    def test_it_echoes_nothing_if_it_knows_a_later_owner(self) -> None:
        self.election.highest_epoch = 3
        pulse = member_status.build_pulse(self.member)
        self.assertEqual((pulse.epoch, pulse.echoed_ms), (3, 0))

    def report(self, **words: int) -> mock.Mock:
        """Returns the validity of an owner of epoch 2 after a pulse."""
        self.member.owner = mock.Mock(epoch=2)
        peer = mock.Mock(peer=frames.PeerInfo(name="b"))
        self.member.handle(peer, "pulse", frames.Pulse(**words))
        return self.member.owner.ownership_validity

    def test_an_owner_records_the_echo(self) -> None:
        validity = self.report(epoch=2, echoed_ms=500)
        validity.quorum.record_echo.assert_called_once_with("b", 0.5)

    def test_an_owner_ignores_the_echo_of_an_earlier_one(self) -> None:
        validity = self.report(epoch=1, echoed_ms=500)
        validity.quorum.record_echo.assert_not_called()

    def test_an_owner_learns_of_a_later_one(self) -> None:
        validity = self.report(epoch=3)
        validity.record_later_owner.assert_called_once_with("b")


class LeavingTest(EchoTest):
    """An entry is about to stop."""

    def test_it_says_that_it_will_not_take_over(self) -> None:
        self.assertFalse(member_status.build_pulse(self.member).leaving)
        self.member.draining = True
        self.assertTrue(member_status.build_pulse(self.member).leaving)

    def test_it_says_nothing_while_it_claims_the_cell(self) -> None:
        self.member.draining = self.election.claiming = True
        self.assertFalse(member_status.build_pulse(self.member).leaving)

    def test_it_does_not_take_over(self) -> None:
        self.member.draining = True
        item = store.Item(key=records.OWNER_KEY, data=None, revision=1)
        self.assertFalse(self.election.take_over(item, None))
        self.member.client.write.assert_not_called()

    def test_an_owner_records_it(self) -> None:
        validity = self.report(epoch=2, leaving=True)
        validity.quorum.record_leaving.assert_called_once_with("b")


class LostChannelTest(unittest.TestCase):
    """The channel of a follower ends, as by a crash or a cut."""

    def test_its_entry_still_has_to_confirm(self) -> None:
        member = member_module.Member.__new__(member_module.Member)
        member.leaving_followers = set()
        member.store_served_at = {}
        member.cell_clock = cell_clock.CellClock()
        quorum = build("b", "c", "d")
        member.owner = mock.Mock()
        member.owner.ownership_validity.quorum = quorum
        peer = mock.Mock(peer=frames.PeerInfo(name="d"), reason="reset")
        member.followers = {"d": peer}
        member.remove_follower(peer)
        self.assertEqual(quorum.list_missing(), [])
        later = clock.boot_s() + follower_quorum.SILENCE_LIMIT_S + 0.1
        with mock.patch("time.clock_gettime", return_value=later):
            echo(quorum, "b", "c")
            self.assertEqual(quorum.list_missing(), ["d"])
            self.assertLess(quorum.get_confirmed_at(), later - 1.0)


del QuorumCase
