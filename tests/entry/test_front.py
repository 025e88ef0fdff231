"""Tests of the front: what callers are told, and what is sent."""

import time
import unittest

import gevent

from hickoryreach.structure import jobs
from hickoryreach_entry import front
from tests.entry import callers


class FrontTest(callers.FrontCase):
    """What callers are told, and what is submitted."""

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
        self.front.dispatches.take(callers.make_dispatch())
        gevent.sleep(0)
        self.assertEqual(self.carrying, [])
        self.assertEqual(self.list_outcomes()[0].result, "not_run")

    def test_a_barrier_is_told_to_the_new_owner(self):
        caller = self.submit()
        self.front.dispatches.note_term(0, 5)
        self.front.resend(0)
        gevent.sleep(0)
        again = [m for field, m in self.sent if field == "submissions"][-1]
        self.assertTrue(again.repeated)
        self.assertEqual((again.sent, again.barrier), (False, 5))
        caller.kill()

    def test_news_does_not_bring_about_a_repeat(self):
        caller = self.submit()
        for _ in range(20):
            self.front.take_notice(callers.make_notice("running"))
            gevent.sleep(0)
        self.assertEqual(len(self.sent), 1)
        caller.kill()

    def test_a_refusal_of_another_call_is_not_taken(self):
        caller = self.submit(wait_s=0.2)
        self.front.take_notice(
            callers.make_notice("refused", ran="not_run", call_id="other")
        )
        self.front.take_notice(callers.make_notice("running"))
        self.assertEqual(caller.get().notice.state, "running")

    def test_a_refusal_after_sending_does_not_say_not_run(self):
        caller = self.submit()
        self.front.dispatches.take(callers.make_dispatch())
        gevent.sleep(0)
        self.front.take_notice(callers.make_notice("refused", ran="not_run"))
        self.assertEqual(caller.get().notice.ran, "unknown")

    def test_a_body_is_kept_while_nobody_waits(self):
        waiter = self.submit(wait_s=0.01)
        self.front.take_notice(callers.make_notice("accepted", ran="not_run"))
        waiter.get()
        self.front.dispatches.take(callers.make_dispatch())
        gevent.sleep(0)
        self.assertEqual(len(self.carrying), 1)

    def test_a_repeat_with_another_body_does_not_replace_the_first(self):
        first = self.submit()
        second = self.submit(digest="d2")
        self.assertEqual(self.front.dispatches.held["0.a"].job.digest, "d1")
        first.kill()
        second.kill()

    def test_a_drain_answers_who_waits_for_a_batch_job(self):
        caller = self.submit(kind=jobs.Kind.BATCH)
        self.front.take_notice(callers.make_notice("accepted", ran="not_run"))
        self.front.drain()
        self.assertEqual(caller.get(timeout=1.0).notice.state, "accepted")

    def test_a_drain_waits_for_a_request(self):
        caller = self.submit()
        self.front.take_notice(callers.make_notice("accepted", ran="not_run"))
        self.front.dispatches.take(callers.make_dispatch())
        self.front.drain()
        gevent.sleep(0)
        self.assertFalse(caller.ready())
        self.carrying[0][1].set(callers.SUCCEEDED)
        self.assertEqual(caller.get(timeout=1.0).answer.body, b"whole")


if __name__ == "__main__":
    unittest.main()
