"""Tests of dispatches: sent once, reported until taken in."""

import time
import unittest
from unittest import mock

import gevent

from hickoryreach_entry import dispatches
from tests.entry import callers


class DispatchesTest(callers.FrontCase):
    """What is sent to minions, and what the owner is told of it."""

    def test_a_dispatch_is_sent_once_however_often_it_comes(self):
        caller = self.submit()
        for _ in range(3):
            self.front.dispatches.take(callers.make_dispatch())
            gevent.sleep(0)
        self.assertEqual(len(self.carrying), 1)
        self.carrying[0][1].set(callers.SUCCEEDED)
        self.assertEqual(caller.get().answer.body, b"whole")

    def test_two_attempts_are_never_sent_at_a_time(self):
        caller = self.submit()
        self.front.dispatches.take(callers.make_dispatch(attempt=1))
        self.front.dispatches.take(
            callers.make_dispatch(attempt=10_001, term=2)
        )
        gevent.sleep(0)
        self.assertEqual([attempt for attempt, _ in self.carrying], [1])
        self.assertEqual(self.list_outcomes()[0].result, "not_run")
        caller.kill()

    def test_a_dispatch_of_an_earlier_owner_is_not_taken(self):
        caller = self.submit()
        self.front.dispatches.note_term(0, 5)
        self.front.dispatches.take(callers.make_dispatch(term=4))
        gevent.sleep(0)
        self.assertEqual(self.carrying, [])
        caller.kill()

    def test_an_outcome_is_repeated_until_it_is_taken_in(self):
        caller = self.submit()
        self.front.dispatches.take(callers.make_dispatch())
        gevent.sleep(0)
        self.carrying[0][1].set(callers.SUCCEEDED)
        caller.get()
        self.front.dispatches.repeat_outcomes(None)
        self.assertEqual(len(self.list_outcomes()), 2)
        self.assertTrue(self.front.is_busy())
        self.front.take_notice(
            callers.make_notice("", taken_attempt=1, taken_term=1)
        )
        self.front.dispatches.repeat_outcomes(None)
        self.assertEqual(len(self.list_outcomes()), 2)
        self.assertFalse(self.front.is_busy())

    def test_a_taken_outcome_is_forgotten_once_nothing_can_be_sent(self):
        caller = self.submit(idempotent=False)
        self.front.dispatches.take(callers.make_dispatch())
        gevent.sleep(0)
        self.carrying[0][1].set(callers.SUCCEEDED)
        gevent.sleep(0)
        self.front.take_notice(
            callers.make_notice("", taken_attempt=1, taken_term=1)
        )
        later = time.monotonic() + dispatches.TAKEN_S + 1.0
        with mock.patch.object(time, "monotonic", return_value=later):
            self.front.dispatches.repeat_outcomes(None)
            self.assertIn("0.a", self.front.dispatches.carried)
        self.front.take_notice(callers.make_notice("succeeded"))
        caller.get()
        with mock.patch.object(time, "monotonic", return_value=later):
            self.front.dispatches.repeat_outcomes(None)
        self.assertEqual(self.front.dispatches.carried, {})


if __name__ == "__main__":
    unittest.main()
