"""Tests of when an owner releases the cell."""

import time
import types
import unittest
from unittest import mock

import gevent
from returns import result

from hickoryreach.platform import store
from hickoryreach.wire import frames
from hickoryreach_entry import clock
from hickoryreach_entry.cell import configuration_watch
from hickoryreach_entry.cell import fitness_review
from hickoryreach_entry.cell import member as member_module
from hickoryreach_entry.cell import records
from hickoryreach_entry.cell import succession


class StoreAccessTest(unittest.TestCase):
    """The store serves a follower while the owner's writes fail."""

    def setUp(self) -> None:
        """Creates an owner whose writes have failed for a second."""
        now = time.monotonic()
        self.member = member_module.Member.__new__(member_module.Member)
        self.member.owner = types.SimpleNamespace(
            epoch=3,
            leaving=False,
            progress=types.SimpleNamespace(failing_since=now - 1.0),
        )
        self.member.election = types.SimpleNamespace(declined_until=0.0)
        self.member.store_served_at = {"other": now}
        self.answer = result.Failure(store.StoreFailure(reason="busy"))
        self.member.client = types.SimpleNamespace(get=lambda key: self.answer)
        self.member.release_ownership = mock.Mock()

    def check(self) -> bool:
        """Returns whether the ownership is released."""
        fitness_review.FitnessReview(member=self.member).check_store_access()
        return bool(self.member.election.declined_until)

    def test_releases_if_reads_fail_too(self) -> None:
        self.assertTrue(self.check())

    def test_does_not_release_if_a_read_succeeds(self) -> None:
        item = store.Item(key=records.OWNER_KEY, data=b"{}", revision=3)
        self.answer = result.Success(item)
        self.assertFalse(self.check())

    def test_releases_if_a_read_is_not_answered(self) -> None:
        self.member.client.get = lambda key: gevent.sleep(5.0)
        self.assertTrue(self.check())

    def test_does_not_release_if_the_store_serves_no_follower(self) -> None:
        self.member.store_served_at = {"other": time.monotonic() - 2.0}
        self.assertFalse(self.check())


class ReadsFailTest(StoreAccessTest):
    """The store turns an owner away that has nothing to write."""

    def setUp(self) -> None:
        """Creates an owner whose calls have failed for over a second."""
        super().setUp()
        self.member.owner.progress.failing_since = 0.0
        self.fail_for(fitness_review.STORE_SILENCE_TIMEOUT_S + 0.1)

    def fail_for(self, seconds: float) -> None:
        """Lets every call have failed for some time."""
        since = time.monotonic() - seconds if seconds else 0.0
        self.member.client.health = types.SimpleNamespace(failing_since=since)

    def test_does_not_release_while_calls_succeed(self) -> None:
        self.fail_for(0.0)
        self.assertFalse(self.check())

    def test_does_not_release_after_a_short_failure(self) -> None:
        self.fail_for(0.5)
        self.assertFalse(self.check())


class StrongerFollowerTest(unittest.TestCase):
    """A follower has more processor time than the owner."""

    def setUp(self) -> None:
        """Creates an owner that took over ten seconds ago."""
        self.now = time.monotonic()
        self.member = member_module.Member.__new__(member_module.Member)
        self.member.own_info = frames.PeerInfo(name="me", processor=0.5)
        self.member.owner = mock.Mock(
            epoch=3, serving=True, leaving=False, begun_at=self.now - 10.0
        )
        self.member.election = types.SimpleNamespace(declined_until=0.0)
        self.member.store_served_at = {}
        self.member.followers = {}
        self.member.leaving_followers = set()
        self.member.client = mock.Mock()
        self.member.client.health.failing_since = 0.0
        self.member.release_ownership = mock.Mock()

    def add_follower(self, name: str, processor: float, since_s: float) -> None:
        """Adds a follower that the store serves."""
        self.member.store_served_at[name] = self.now
        self.member.followers[name] = mock.Mock(
            peer=frames.PeerInfo(name=name, processor=processor),
            last_received_at=clock.boot_s(),
            opened_at=self.now - since_s,
        )

    def check(self) -> bool:
        """Returns whether the ownership is released."""
        fitness_review.FitnessReview(
            member=self.member
        ).check_stronger_follower()
        return bool(self.member.election.declined_until)

    def test_releases_to_a_stronger_follower(self) -> None:
        self.add_follower("strong", 2.0, since_s=5.0)
        self.assertTrue(self.check())

    def test_an_idle_stronger_follower_is_the_first_successor(self) -> None:
        self.add_follower("weak", 0.5, since_s=5.0)
        self.add_follower("strong", 2.0, since_s=5.0)
        idle_s = configuration_watch.WATCH_WAIT_S + 0.2
        self.member.store_served_at["strong"] = self.now - idle_s
        first, _ = succession.list_peers(self.member)
        self.assertEqual(first.name, "strong")

    def test_a_follower_that_is_about_to_stop_is_no_successor(self) -> None:
        self.add_follower("weak", 0.5, since_s=5.0)
        self.add_follower("strong", 2.0, since_s=5.0)
        self.member.leaving_followers.add("strong")
        (first,) = succession.list_peers(self.member)
        self.assertEqual(first.name, "weak")

    def test_does_not_release_to_an_equal_follower(self) -> None:
        self.add_follower("equal", 0.5, since_s=5.0)
        self.assertFalse(self.check())

    def test_does_not_release_to_a_new_follower(self) -> None:
        self.add_follower("strong", 2.0, since_s=0.5)
        self.assertFalse(self.check())

    def test_does_not_release_to_a_follower_without_the_store(self) -> None:
        self.add_follower("strong", 2.0, since_s=5.0)
        self.member.store_served_at["strong"] = self.now - 5.0
        self.assertFalse(self.check())

    def test_does_not_release_while_the_store_fails(self) -> None:
        self.add_follower("strong", 2.0, since_s=5.0)
        self.member.client.health.failing_since = self.now
        self.assertFalse(self.check())

    def test_does_not_release_during_takeover(self) -> None:
        self.add_follower("strong", 2.0, since_s=5.0)
        self.member.owner.serving = False
        self.assertFalse(self.check())
