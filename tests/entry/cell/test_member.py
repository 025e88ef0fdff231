"""Tests of submissions to the owner and of greetings."""

import unittest
from unittest import mock

from returns import result

from hickoryreach.platform import store
from hickoryreach.wire import frames
from hickoryreach_entry.cell import member as member_module
from hickoryreach_entry.cell import records


class SaveJobTest(unittest.TestCase):
    """A follower asks the owner to save a job."""

    def save_job(self, failure: store.StoreFailure) -> frames.JobReport:
        """Returns the answer to the follower when the write fails."""
        member = member_module.Member.__new__(member_module.Member)
        member.owner = mock.Mock(leaving=False)
        member.owner_client = mock.Mock()
        member.owner_client.write_record.return_value = result.Failure(failure)
        with mock.patch.object(records, "decode_job") as decode:
            decode.return_value = result.Success(mock.Mock(job_id="a"))
            return member.submit_locally(
                frames.Submission(job=b"1", kept=False)
            )

    def test_a_refused_write_is_reported_as_not_stored(self) -> None:
        report = self.save_job(store.StoreFailure(reason="status 503"))
        self.assertEqual((report.kept, report.unclear), (False, False))

    def test_a_write_without_an_answer_is_reported_as_unclear(self) -> None:
        failure = store.StoreFailure(reason="lost", effect_unknown=True)
        self.assertTrue(self.save_job(failure).unclear)

    def test_an_earlier_submission_is_reported_as_unclear(self) -> None:
        item = store.Item(key="jobs/a", data=b"2", revision=1)
        failure = store.StoreFailure(reason="conflict", conflict=(item,))
        self.assertTrue(self.save_job(failure).unclear)


class MalformedGreetingTest(unittest.TestCase):
    """A peer that gives no name does not become a follower."""

    def test_its_channel_is_closed(self) -> None:
        member = member_module.Member.__new__(member_module.Member)
        member.followers = {}
        for info in (None, frames.PeerInfo()):
            peer = mock.Mock()
            member.handle(peer, "greeting", frames.Greeting(peer=info))
            peer.close.assert_called_once()
        self.assertFalse(member.followers)
