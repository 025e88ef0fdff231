"""Tests of how long an owner may act on a confirmation."""

import time
import types
import unittest
from unittest import mock

from returns import result

from hickoryreach.platform import store
from hickoryreach_entry.cell import channel
from hickoryreach_entry.cell import ownership_validity
from hickoryreach_entry.cell import records

SUSPENDED_S = 5.0


class SuspensionTest(unittest.TestCase):
    """A suspended machine's monotonic clock stands still."""

    def setUp(self) -> None:
        """Confirms an ownership by the store."""
        self.client = mock.Mock()
        item = store.Item(key=records.OWNER_KEY, data=b"{}", revision=7)
        self.client.get.return_value = result.Success(item)
        self.followers: dict[str, channel.Channel] = {}
        self.validity = ownership_validity.OwnershipValidity(
            client=self.client,
            revision=7,
            get_channels=lambda: self.followers,
            on_deposed=mock.Mock(),
        )
        self.validity.confirm()

    def suspend(self) -> None:
        """Advances the boot clock alone."""
        resumed_at = time.clock_gettime(time.CLOCK_BOOTTIME) + SUSPENDED_S
        patch = mock.patch("time.clock_gettime", return_value=resumed_at)
        patch.start()
        self.addCleanup(patch.stop)

    def fail_store(self) -> None:
        """Lets the store answer nothing."""
        failure = store.StoreFailure(reason="timeout")
        self.client.get.return_value = result.Failure(failure)

    def add_follower(self) -> None:
        """Adds a follower that was just heard."""
        heard_at = time.clock_gettime(time.CLOCK_BOOTTIME)
        self.followers["b"] = types.SimpleNamespace(last_received_at=heard_at)

    def test_a_confirmation_is_valid_at_first(self) -> None:
        self.assertTrue(self.validity.is_confirmed())

    def test_a_confirmation_from_before_a_suspension_is_not_valid(self) -> None:
        self.suspend()
        self.assertFalse(self.validity.is_confirmed())

    def test_followers_heard_before_a_suspension_confirm_nothing(self) -> None:
        self.add_follower()
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
        self.add_follower()
        self.validity.confirm()
        self.assertTrue(self.validity.is_confirmed())
