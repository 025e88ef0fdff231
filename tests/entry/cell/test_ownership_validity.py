"""Tests of how long an owner may act on a confirmation."""

import time
import unittest
from unittest import mock

import gevent
from gevent import event
from returns import result

from hickoryreach.platform import store
from hickoryreach_entry import clock
from hickoryreach_entry.cell import follower_quorum
from hickoryreach_entry.cell import ownership_scope
from hickoryreach_entry.cell import ownership_validity
from hickoryreach_entry.cell import records

SUSPENDED_S = 5.0
LATER_S = 2.0


class ValidityCase(unittest.TestCase):
    """An owner whose store may fail.

    Attributes:
        client: The store.
        quorum: The followers.
        validity: What is tested.
        on_deposed: What is called when another entry owns the cell.
    """

    def setUp(self) -> None:
        """Confirms an ownership by the store."""
        self.client = mock.Mock()
        self.scope = ownership_scope.OwnershipScope(epoch=1)
        self.addCleanup(self.scope.close)
        self.answer(revision=7)
        self.quorum = follower_quorum.FollowerQuorum(expected=(), complete=True)
        self.on_deposed = mock.Mock()
        self.validity = ownership_validity.OwnershipValidity(
            scope=self.scope,
            client=self.client,
            revision=7,
            quorum=self.quorum,
            on_deposed=self.on_deposed,
        )
        self.validity.confirm()

    def answer(self, revision: int) -> None:
        """Lets the store answer with a revision of the owner's key."""
        item = store.Item(key=records.OWNER_KEY, data=b"{}", revision=revision)
        self.client.get.return_value = result.Success(item)

    def suspend(self, seconds: float = SUSPENDED_S) -> None:
        """Advances the boot clock alone."""
        resumed_at = time.clock_gettime(time.CLOCK_BOOTTIME) + seconds
        patch = mock.patch("time.clock_gettime", return_value=resumed_at)
        patch.start()
        self.addCleanup(patch.stop)

    def fail_store(self) -> None:
        """Lets the store answer nothing."""
        failure = store.StoreFailure(reason="timeout")
        self.client.get.return_value = result.Failure(failure)

    def hear(self, *names: str) -> None:
        """Hears followers echo a status that was just sent."""
        for name in names:
            if name not in self.quorum.followers:
                self.quorum.add(name)
            self.quorum.record_echo(name, clock.boot_s())

    def lose_store(self) -> None:
        """Loses the store until its last confirmation is of no use."""
        self.fail_store()
        self.validity.confirm()
        self.suspend(LATER_S)


class SuspensionTest(ValidityCase):
    """A suspended machine's monotonic clock stands still."""

    def test_a_confirmation_is_valid_at_first(self) -> None:
        self.assertTrue(self.validity.is_confirmed())

    def test_a_confirmation_from_before_a_suspension_is_not_valid(self) -> None:
        self.suspend()
        self.assertFalse(self.validity.is_confirmed())

    def test_followers_heard_before_a_suspension_confirm_nothing(self) -> None:
        self.hear("b")
        self.fail_store()
        self.suspend()
        self.validity.confirm()
        self.assertFalse(self.validity.is_confirmed())

    def test_a_suspension_during_the_check_counts(self) -> None:
        found = self.client.get.return_value

        def answer_late(key: str) -> result.Result:
            self.suspend()
            return found

        self.client.get.side_effect = answer_late
        self.validity.confirm()
        self.assertFalse(self.validity.is_confirmed())

    def test_followers_that_are_heard_confirm_without_the_store(self) -> None:
        self.fail_store()
        self.suspend()
        self.hear("b")
        self.validity.confirm()
        self.assertTrue(self.validity.is_confirmed())


class CutOffTest(ValidityCase):
    """An owner that the store doesn't answer is cut off from followers."""

    def setUp(self) -> None:
        """Confirms an ownership that six entries follow."""
        super().setUp()
        self.hear(*"bcdefg")
        self.validity.confirm()

    def test_one_of_six_followers_confirms_nothing(self) -> None:
        self.lose_store()
        self.hear("b")
        self.assertFalse(self.validity.is_confirmed())

    def test_most_followers_confirm_nothing(self) -> None:
        self.lose_store()
        self.hear(*"bcdef")
        self.assertFalse(self.validity.is_confirmed())

    def test_all_followers_confirm(self) -> None:
        self.lose_store()
        self.hear(*"bcdefg")
        self.assertTrue(self.validity.is_confirmed())

    def test_the_others_confirm_once_one_has_left(self) -> None:
        self.quorum.record_leaving("g")
        self.lose_store()
        self.hear(*"bcdef")
        self.assertTrue(self.validity.is_confirmed())

    def test_followers_confirm_from_the_oldest_echo_on(self) -> None:
        self.lose_store()
        self.hear(*"bcdef")
        self.quorum.record_echo("g", clock.boot_s() - 1.0)
        self.assertTrue(self.validity.is_confirmed())
        self.suspend(0.6)
        self.assertFalse(self.validity.is_confirmed())

    def test_an_absent_entry_counts_until_the_store_answers(self) -> None:
        self.suspend(follower_quorum.ABSENCE_LIMIT_S + 0.1)
        self.hear(*"bcdef")
        self.validity.confirm()
        self.lose_store()
        self.hear(*"bcdef")
        self.assertTrue(self.validity.is_confirmed())


class LaterOwnerTest(ValidityCase):
    """Something shows that another entry owns the cell."""

    def setUp(self) -> None:
        """Loses the store while a follower goes on."""
        super().setUp()
        self.hear("b")
        self.lose_store()
        self.hear("b")

    def test_followers_confirm_nothing_afterwards(self) -> None:
        self.assertTrue(self.validity.is_confirmed())
        self.validity.record_later_owner("i-00")
        self.hear("b")
        self.assertFalse(self.validity.is_confirmed())

    def test_the_store_may_deny_it(self) -> None:
        self.validity.record_later_owner("i-00")
        self.suspend(0.1)
        self.answer(revision=7)
        self.validity.confirm()
        self.assertTrue(self.validity.is_confirmed())
        self.lose_store()
        self.hear("b")
        self.assertTrue(self.validity.is_confirmed())

    def test_a_read_sent_before_denies_nothing(self) -> None:
        found = result.Success(
            store.Item(key=records.OWNER_KEY, data=b"{}", revision=7)
        )

        def answer_late(key: str) -> result.Result:
            self.suspend(0.1)
            self.validity.record_later_owner("i-00")
            return found

        self.client.get.side_effect = answer_late
        self.validity.confirm()
        self.client.get.side_effect = None
        self.lose_store()
        self.hear("b")
        self.assertFalse(self.validity.is_confirmed())

    def test_the_store_deposes(self) -> None:
        self.answer(revision=8)
        self.validity.confirm()
        self.on_deposed.assert_called_once_with("owner_key_changed")


class FencedCallsTest(ValidityCase):
    """Minions refuse the owner's token, again and again."""

    def setUp(self) -> None:
        """Lets the store answer late."""
        super().setUp()
        self.client.get.reset_mock()
        self.answered = event.Event()
        self.late = self.client.get.return_value

        def answer_late(key: str) -> result.Result:
            self.answered.wait()
            return self.late

        self.client.get.side_effect = answer_late

    def refuse(self, seconds: float) -> None:
        """Lets a hundred minions refuse the token for a while."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            for _ in range(100):
                self.validity.confirm_soon()
            gevent.sleep(0.01)

    # Guards against a read of the store for each refused poll of each minion.
    def test_few_checks_are_made_at_once(self) -> None:
        self.refuse(1.5)
        self.assertLessEqual(
            self.client.get.call_count, ownership_validity.MAX_CHECKS
        )

    def test_checks_keep_their_distance_once_the_store_answers(self) -> None:
        self.answered.set()
        self.refuse(1.0)
        most = 1 + int(1.0 / ownership_validity.MIN_CHECK_GAP_S)
        self.assertLessEqual(self.client.get.call_count, most)
        self.assertGreater(self.client.get.call_count, 1)

    def test_a_check_that_hangs_keeps_no_other_off(self) -> None:
        self.refuse(ownership_validity.MIN_CHECK_GAP_S + 0.1)
        item = store.Item(key=records.OWNER_KEY, data=b"{}", revision=8)
        self.client.get.side_effect = None
        self.client.get.return_value = result.Success(item)
        self.refuse(ownership_validity.MIN_CHECK_GAP_S + 0.1)
        self.on_deposed.assert_called_with("owner_key_changed")

    def test_an_answer_that_is_late_takes_nothing_back(self) -> None:
        late = gevent.spawn(self.validity.confirm)
        gevent.sleep(0.05)
        self.client.get.side_effect = None
        self.client.get.return_value = self.late
        self.validity.confirm()
        confirmed_at = self.validity.stored_at
        self.answered.set()
        late.join(1.0)
        self.assertEqual(self.validity.stored_at, confirmed_at)


del ValidityCase
