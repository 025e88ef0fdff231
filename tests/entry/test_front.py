"""Tests of the front: what callers are told, and what is sent."""

import time
import unittest
from unittest import mock

import gevent

from hickoryreach.structure import jobs
from hickoryreach.structure import resources
from hickoryreach.wire import messages
from hickoryreach_entry import front
from hickoryreach_entry import minions

SUCCEEDED = minions.Answer(
    result=jobs.TaskResult.SUCCEEDED, status=200, body=b"whole"
)


def make_job(**fields) -> jobs.Job:
    """Returns a request."""
    defaults = {
        "job_id": "0.a",
        "workspace": "north",
        "kind": jobs.Kind.REQUEST,
        "digest": "d1",
        "need": resources.Resources(slots=1),
    }
    return jobs.Job(**{**defaults, **fields})


def make_dispatch(attempt: int = 1, term: int = 1) -> messages.Dispatch:
    """Returns a dispatch."""
    return messages.Dispatch(
        job_id="0.a",
        attempt=attempt,
        worker_id="w1",
        address="127.0.0.1:1",
        term=term,
        valid_ms=3_000,
    )


def make_notice(state: str, **fields) -> messages.Notice:
    """Returns a notice."""
    defaults = {"ran": "ran", "job_id": "0.a"}
    return messages.Notice(state=state, **{**defaults, **fields})


class FrontTest(unittest.TestCase):
    """Callers, a fake owner and a fake minion."""

    def setUp(self):
        self.enterContext(mock.patch.object(front, "FIRST_NOTICE_S", 0.2))
        self.sent = []
        self.owned = True
        self.answers = []
        self.carrying = []
        self.front = front.Front(
            name="e1",
            send_to_owner=self.take,
            send_request=self.send_request,
        )

    def take(self, shard: int, field: str, message: object) -> bool:
        """Takes what is sent to the owner."""
        if self.owned:
            self.sent.append((field, message))
        return self.owned

    def send_request(self, job, body, dispatch, received):
        """Answers like a minion, once the test lets it."""
        done = gevent.event.AsyncResult()
        self.carrying.append((dispatch.attempt, done))
        return done.get()

    def submit(self, wait_s: float = 5.0, **fields) -> gevent.Greenlet:
        """Submits a job in the background."""
        caller = gevent.spawn(
            self.front.submit, make_job(**fields), body=b"b", wait_s=wait_s
        )
        gevent.sleep(0)
        return caller

    def list_outcomes(self) -> list[messages.Outcome]:
        """Returns the outcomes reported so far."""
        return [message for field, message in self.sent if field == "outcomes"]

    def test_without_an_owner_not_run_is_said_in_time(self):
        self.owned = False
        started = time.monotonic()
        waiter = self.submit(wait_s=0.1, kind=jobs.Kind.BATCH).get()
        took_s = time.monotonic() - started
        self.assertLess(took_s, front.FIRST_NOTICE_S + 1.0)
        self.assertEqual(waiter.notice.ran, "not_run")

    def test_a_job_that_was_handed_over_is_not_called_not_run(self):
        waiter = self.submit(wait_s=0.1, kind=jobs.Kind.BATCH).get()
        self.assertIsNone(waiter.notice)

    def test_a_request_without_notice_is_not_run_and_stays_so(self):
        waiter = self.submit(wait_s=0.1).get()
        self.assertEqual(waiter.notice.ran, "not_run")
        self.front.take_dispatch(make_dispatch())
        gevent.sleep(0)
        self.assertEqual(self.carrying, [])
        self.assertEqual(self.list_outcomes()[0].result, "not_run")

    def test_a_dispatch_is_sent_once_however_often_it_comes(self):
        caller = self.submit()
        for _ in range(3):
            self.front.take_dispatch(make_dispatch())
            gevent.sleep(0)
        self.assertEqual(len(self.carrying), 1)
        self.carrying[0][1].set(SUCCEEDED)
        self.assertEqual(caller.get().answer.body, b"whole")

    def test_two_attempts_are_never_sent_at_a_time(self):
        caller = self.submit()
        self.front.take_dispatch(make_dispatch(attempt=1))
        self.front.take_dispatch(make_dispatch(attempt=10_001, term=2))
        gevent.sleep(0)
        self.assertEqual([attempt for attempt, _ in self.carrying], [1])
        self.assertEqual(self.list_outcomes()[0].result, "not_run")
        caller.kill()

    def test_a_dispatch_of_an_earlier_owner_is_not_taken(self):
        caller = self.submit()
        self.front.note_term(0, 5)
        self.front.take_dispatch(make_dispatch(term=4))
        gevent.sleep(0)
        self.assertEqual(self.carrying, [])
        caller.kill()

    def test_a_barrier_is_told_to_the_new_owner(self):
        caller = self.submit()
        self.front.note_term(0, 5)
        self.front.resend(0)
        gevent.sleep(0)
        again = [m for field, m in self.sent if field == "submissions"][-1]
        self.assertTrue(again.repeated)
        self.assertEqual((again.sent, again.barrier), (False, 5))
        caller.kill()

    def test_news_does_not_bring_about_a_repeat(self):
        caller = self.submit()
        for _ in range(20):
            self.front.take_notice(make_notice("running"))
            gevent.sleep(0)
        self.assertEqual(len(self.sent), 1)
        caller.kill()

    def test_an_outcome_is_repeated_until_it_is_taken_in(self):
        caller = self.submit()
        self.front.take_dispatch(make_dispatch())
        gevent.sleep(0)
        self.carrying[0][1].set(SUCCEEDED)
        caller.get()
        self.front.repeat_outcomes(None)
        self.assertEqual(len(self.list_outcomes()), 2)
        self.assertTrue(self.front.is_busy())
        self.front.take_notice(make_notice("", taken_attempt=1, taken_term=1))
        self.front.repeat_outcomes(None)
        self.assertEqual(len(self.list_outcomes()), 2)
        self.assertFalse(self.front.is_busy())

    def test_a_taken_outcome_is_forgotten_once_nothing_can_be_sent(self):
        caller = self.submit(idempotent=False)
        self.front.take_dispatch(make_dispatch())
        gevent.sleep(0)
        self.carrying[0][1].set(SUCCEEDED)
        gevent.sleep(0)
        self.front.take_notice(make_notice("", taken_attempt=1, taken_term=1))
        later = time.monotonic() + front.TAKEN_S + 1.0
        with mock.patch.object(time, "monotonic", return_value=later):
            self.front.repeat_outcomes(None)
            self.assertIn("0.a", self.front.carried)
        self.front.take_notice(make_notice("succeeded"))
        caller.get()
        with mock.patch.object(time, "monotonic", return_value=later):
            self.front.repeat_outcomes(None)
        self.assertEqual(self.front.carried, {})

    def test_a_refusal_of_another_call_is_not_taken(self):
        caller = self.submit(wait_s=0.2)
        self.front.take_notice(
            make_notice("refused", ran="not_run", call_id="other")
        )
        self.front.take_notice(make_notice("running"))
        self.assertEqual(caller.get().notice.state, "running")

    def test_a_refusal_after_sending_does_not_say_not_run(self):
        caller = self.submit()
        self.front.take_dispatch(make_dispatch())
        gevent.sleep(0)
        self.front.take_notice(make_notice("refused", ran="not_run"))
        self.assertEqual(caller.get().notice.ran, "unknown")

    def test_a_body_is_kept_while_nobody_waits(self):
        waiter = self.submit(wait_s=0.01)
        self.front.take_notice(make_notice("accepted", ran="not_run"))
        waiter.get()
        self.front.take_dispatch(make_dispatch())
        gevent.sleep(0)
        self.assertEqual(len(self.carrying), 1)

    def test_a_repeat_with_another_body_does_not_replace_the_first(self):
        first = self.submit()
        second = self.submit(digest="d2")
        self.assertEqual(self.front.held["0.a"].job.digest, "d1")
        first.kill()
        second.kill()

    def test_a_drain_answers_who_waits_for_a_batch_job(self):
        caller = self.submit(kind=jobs.Kind.BATCH)
        self.front.take_notice(make_notice("accepted", ran="not_run"))
        self.front.drain()
        self.assertEqual(caller.get(timeout=1.0).notice.state, "accepted")

    def test_a_drain_waits_for_a_request(self):
        caller = self.submit()
        self.front.take_notice(make_notice("accepted", ran="not_run"))
        self.front.take_dispatch(make_dispatch())
        self.front.drain()
        gevent.sleep(0)
        self.assertFalse(caller.ready())
        self.carrying[0][1].set(SUCCEEDED)
        self.assertEqual(caller.get(timeout=1.0).answer.body, b"whole")


if __name__ == "__main__":
    unittest.main()
