"""Tests of when an owner gives the cell up."""

import time
import types
import unittest
from unittest import mock

import gevent
from returns import result

from hickoryreach.platform import store
from hickoryreach.wire import frames
from hickoryreach_entry.cell import member as member_module
from hickoryreach_entry.cell import records
from hickoryreach_entry.cell import server


class KeepTest(unittest.TestCase):
    """A follower has the owner write a job."""

    def keep(self, failure: store.StoreFailure) -> frames.JobReport:
        """Returns what the follower is told when the write fails."""
        member = member_module.Member.__new__(member_module.Member)
        member.owner = mock.Mock(leaving=False)
        member.owner_client = mock.Mock()
        member.owner_client.write_job.return_value = result.Failure(failure)
        with mock.patch.object(records, "decode_job") as decode:
            decode.return_value = result.Success(mock.Mock(job_id="a"))
            return member.submit_locally(
                frames.Submission(job=b"1", kept=False)
            )

    def test_a_write_that_was_refused_keeps_nothing(self) -> None:
        report = self.keep(store.StoreFailure(reason="status 503"))
        self.assertEqual((report.kept, report.unclear), (False, False))

    def test_a_write_without_an_answer_may_keep_it(self) -> None:
        failure = store.StoreFailure(reason="lost", effect_unknown=True)
        self.assertTrue(self.keep(failure).unclear)

    def test_an_earlier_hand_in_may_have_kept_it(self) -> None:
        item = store.Item(key="jobs/a", data=b"2", revision=1)
        failure = store.StoreFailure(reason="conflict", conflict=(item,))
        self.assertTrue(self.keep(failure).unclear)


class StoreLostTest(unittest.TestCase):
    """The store serves a follower while writes of the owner fail."""

    def setUp(self) -> None:
        """Lets the writes fail for a second."""
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
        self.member.release = mock.Mock()

    def review(self) -> bool:
        """Returns whether the ownership is handed over."""
        self.member.check_store_access()
        return bool(self.member.election.declined_until)

    def test_an_owner_that_is_turned_away_hands_over(self) -> None:
        self.assertTrue(self.review())

    def test_an_owner_that_the_store_answers_stays(self) -> None:
        item = store.Item(key=records.OWNER_KEY, data=b"{}", revision=3)
        self.answer = result.Success(item)
        self.assertFalse(self.review())

    def test_an_owner_that_hears_nothing_hands_over(self) -> None:
        self.member.client.get = lambda key: gevent.sleep(5.0)
        self.assertTrue(self.review())

    def test_an_owner_stays_while_the_store_serves_nobody(self) -> None:
        self.member.store_served_at = {"other": time.monotonic() - 2.0}
        self.assertFalse(self.review())


class StrengthTest(unittest.TestCase):
    """A weak owner that a stronger entry follows."""

    def setUp(self) -> None:
        """Owns the cell for ten seconds."""
        self.now = time.monotonic()
        self.member = member_module.Member.__new__(member_module.Member)
        self.member.me = frames.PeerInfo(name="me", processor=0.5)
        self.member.owner = mock.Mock(
            epoch=3, serving=True, leaving=False, begun_at=self.now - 10.0
        )
        self.member.election = types.SimpleNamespace(declined_until=0.0)
        self.member.store_served_at = {}
        self.member.followers = {}
        self.member.client = mock.Mock()
        self.member.client.health.failing_since = 0.0
        self.member.release = mock.Mock()

    def follow(self, name: str, processor: float, since_s: float) -> None:
        """Lets an entry follow that the store serves."""
        self.member.store_served_at[name] = self.now
        self.member.followers[name] = mock.Mock(
            peer=frames.PeerInfo(name=name, processor=processor),
            last_received_at=self.now,
            opened_at=self.now - since_s,
        )

    def review(self) -> bool:
        """Returns whether the ownership is handed over."""
        self.member.check_stronger_follower()
        return bool(self.member.election.declined_until)

    def test_the_stronger_one_takes_over(self) -> None:
        self.follow("strong", 2.0, since_s=5.0)
        self.assertTrue(self.review())

    def test_one_that_calls_the_store_rarely_goes_first(self) -> None:
        self.follow("weak", 0.5, since_s=5.0)
        self.follow("strong", 2.0, since_s=5.0)
        idle_s = server.CONFIGURATION_WAIT_S + 0.2
        self.member.store_served_at["strong"] = self.now - idle_s
        first, _ = self.member.list_succession()
        self.assertEqual(first.name, "strong")

    def test_one_that_is_as_strong_does_not(self) -> None:
        self.follow("equal", 0.5, since_s=5.0)
        self.assertFalse(self.review())

    def test_one_that_has_just_come_does_not_yet(self) -> None:
        self.follow("strong", 2.0, since_s=0.5)
        self.assertFalse(self.review())

    def test_one_that_the_store_turns_away_does_not(self) -> None:
        self.follow("strong", 2.0, since_s=5.0)
        self.member.store_served_at["strong"] = self.now - 5.0
        self.assertFalse(self.review())

    def test_nothing_changes_while_the_store_is_away(self) -> None:
        self.follow("strong", 2.0, since_s=5.0)
        self.member.client.health.failing_since = self.now
        self.assertFalse(self.review())

    def test_an_owner_that_takes_over_goes_on(self) -> None:
        self.follow("strong", 2.0, since_s=5.0)
        self.member.owner.serving = False
        self.assertFalse(self.review())
