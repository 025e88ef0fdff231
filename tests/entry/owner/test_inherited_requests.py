"""Tests of requests that an earlier owner may have handed out."""

import unittest

from hickoryreach.structure import jobs
from tests.entry.owner import scene


class InheritedRequestsTest(scene.RequestCase):
    """A new owner, and what it makes of an open attempt."""

    def test_a_new_owner_takes_the_outcome_that_comes_late(self):
        dispatch = self.submit()
        second = self.scene.take("e2")
        self.scene.move(2, second)
        self.assertEqual(self.get_state(second), "running")
        self.scene.report(second, dispatch, jobs.TaskResult.SUCCEEDED)
        self.assertEqual(self.get_state(second), "succeeded")

    def test_a_new_owner_without_outcome_says_unknown_and_sends_nothing(self):
        self.submit()
        second = self.scene.take("e2")
        self.scene.move(60, second)
        self.assertEqual(self.get_state(second), "unknown")
        self.assertEqual(len(self.scene.list_sent("dispatches")), 1)

    def test_a_new_owner_waits_for_a_request_that_a_worker_lists(self):
        dispatch = self.submit()
        self.scene.workers[dispatch.worker_id].requests = ("0.a",)
        second = self.scene.take("e2")
        self.scene.move(20, second)
        self.assertEqual(self.get_state(second), "running")
        self.scene.submit(
            second, scene.make_request(), sent=True, repeated=True
        )
        self.assertEqual(len(self.scene.list_sent("dispatches")), 1)
        self.scene.report(second, dispatch, jobs.TaskResult.SUCCEEDED)
        self.assertEqual(self.get_state(second), "succeeded")

    def test_an_entry_that_never_sent_it_lets_it_be_sent_anew(self):
        self.submit()
        second = self.scene.take("e2")
        self.scene.move(1, second)
        barrier = second.journal.term
        self.scene.submit(
            second, scene.make_request(), sent=False, barrier=barrier
        )
        self.scene.move(1, second)
        dispatches = self.scene.list_sent("dispatches")
        self.assertEqual(len(dispatches), 2)
        self.assertEqual(dispatches[1].term, second.journal.term)

    def test_an_entry_that_may_have_sent_it_does_not(self):
        self.submit()
        second = self.scene.take("e2")
        self.scene.move(1, second)
        barrier = second.journal.term
        self.scene.submit(
            second, scene.make_request(), sent=True, barrier=barrier
        )
        self.scene.submit(second, scene.make_request(), sent=False, barrier=1)
        self.scene.move(1, second)
        self.assertEqual(len(self.scene.list_sent("dispatches")), 1)


if __name__ == "__main__":
    unittest.main()
