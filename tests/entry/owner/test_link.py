"""Tests of the link to a worker, with a worker that keeps its own time."""

import dataclasses
import unittest

from hickoryreach.decisions import events
from hickoryreach.structure import jobs
from hickoryreach.structure import workers
from hickoryreach.trial import workers as platform_workers
from hickoryreach_entry.owner import grants
from hickoryreach_entry.owner import link
from tests.entry import fakes

KEY = jobs.TaskKey(job_id="0.a", index=0, attempt=1)
START = platform_workers.Operation(verb="start", key=KEY)
LENGTHS = link.Lengths(grant_s=3.0, task_lease_s=6.0, sync_s=1.0)


class LinkTest(unittest.TestCase):
    """One owner and one worker, whose clocks differ."""

    def setUp(self):
        self.clock = fakes.Clock()
        self.enterContext(self.clock.in_force())
        self.worker_clock = fakes.Clock(50.0)
        self.worker = fakes.FakeWorker(
            clock=self.worker_clock, address=fakes.make_worker().address
        )
        self.events = []
        self.stale = []
        self.link = self.make_link(term=5)

    def make_link(self, term: int) -> link.WorkerLink:
        """Returns a link of an owner that needs this worker alone."""
        authority = grants.Authority(grant_s=LENGTHS.grant_s)
        authority.settle(frozenset({"w1"}), self.clock())
        return link.WorkerLink(
            worker=fakes.make_worker(),
            owner="e1",
            term=term,
            lengths=LENGTHS,
            authority=authority,
            emit=self.events.append,
            on_stale=self.stale.append,
            on_reply=lambda answered: None,
            may_lose=lambda worker_id: True,
            name_request=lambda job_id: jobs.TaskKey(
                job_id=job_id, index=0, attempt=0
            ),
            leases_until=0.0,
            make_client=self.connect,
        )

    def connect(self, worker: workers.Worker) -> fakes.FakeWorker:
        """Returns the worker, or one that is down at another address."""
        if worker.address == self.worker.address:
            return self.worker
        other = fakes.FakeWorker(clock=self.clock, address=worker.address)
        other.down = True
        return other

    def move(self, seconds: float) -> None:
        """Lets time pass for the owner and the worker."""
        self.clock.move(seconds)
        self.worker_clock.move(seconds)

    def list_events(self, kind: type) -> list:
        """Returns the events of one kind so far."""
        return [event for event in self.events if isinstance(event, kind)]

    def test_a_start_is_sent_once_the_worker_has_joined(self):
        self.link.send(START)
        self.link.sync_once()
        self.assertEqual(self.worker.started, [])
        self.assertTrue(self.list_events(events.WorkerJoined))
        self.link.sync_once()
        self.assertEqual(self.worker.started, [KEY])
        self.assertEqual(self.list_events(events.TaskStarted)[0].key, KEY)

    def test_a_start_whose_answer_is_lost_runs_once(self):
        self.link.sync_once()
        self.link.send(START)
        self.worker.losing = True
        self.link.sync_once()
        self.worker.losing = False
        self.link.sync_once()
        self.assertEqual(self.worker.started, [KEY])
        self.assertEqual(self.link.commands.operations, [])

    def test_a_start_that_arrives_after_the_authority_is_void(self):
        self.link.sync_once()
        self.link.send(START)
        self.worker.delaying = True
        self.link.sync_once()
        self.worker.delaying = False
        self.move(link.COMMAND_LIFE_S + 0.1)
        self.worker.deliver()
        self.assertEqual(self.worker.started, [])

    def test_a_late_renewal_does_not_lengthen_a_lease(self):
        self.link.sync_once()
        self.link.send(START)
        self.link.sync_once()
        self.worker.delaying = True
        self.link.sync_once()
        self.move(LENGTHS.task_lease_s - 0.1)
        self.worker.deliver()
        self.move(0.2)
        self.worker.sweep()
        self.assertEqual(self.worker.ended[KEY], jobs.TaskResult.STOPPED)

    def test_a_start_is_void_for_a_worker_that_restarted(self):
        self.link.sync_once()
        self.link.send(START)
        self.link.sync_once()
        self.worker.losing = True
        self.link.send(START)
        self.worker.restart()
        self.link.sync_once()
        self.worker.losing = False
        self.link.sync_once()
        self.assertEqual(self.worker.started, [KEY])
        self.assertTrue(self.list_events(events.WorkerLost))

    def test_nothing_is_renewed_without_authority(self):
        self.link.sync_once()
        self.link.send(START)
        self.link.sync_once()
        self.link.authority.propose(frozenset({"w1", "w2", "w3"}))
        for _ in range(8):
            self.move(1.0)
            self.link.sync_once()
        self.assertEqual(self.worker.ended[KEY], jobs.TaskResult.STOPPED)

    def test_a_worker_is_lost_only_after_its_leases_have_lapsed(self):
        self.link.sync_once()
        self.link.send(START)
        self.link.sync_once()
        self.worker.down = True
        while not self.list_events(events.WorkerLost):
            self.move(0.1)
            self.link.sync_once()
            self.worker.sweep()
            lost = bool(self.list_events(events.WorkerLost))
            self.assertFalse(lost and self.worker.tasks)
        self.assertTrue(self.list_events(events.WorkerUnreachable))

    def test_a_start_never_sent_to_a_lost_worker_is_not_run(self):
        self.link.sync_once()
        self.worker.down = True
        self.move(20.0)
        self.link.commands.operations.append(START)
        self.link.take_failure(
            fakes.exceptions.WorkerFailure(reason="down"), self.clock()
        )
        ended = self.list_events(events.TaskEnded)[0]
        self.assertIs(ended.result, jobs.TaskResult.NOT_RUN)

    def test_an_end_is_kept_by_the_worker_while_a_sync_may_be_under_way(self):
        self.link.sync_once()
        self.link.send(START)
        self.link.sync_once()
        self.worker.delaying = True
        self.link.send(START)
        self.link.sync_once()
        self.worker.delaying = False
        self.worker.end(KEY, jobs.TaskResult.SUCCEEDED)
        self.link.sync_once()
        self.link.commands.acknowledge(KEY)
        self.link.sync_once()
        self.worker.deliver()
        self.assertEqual(self.worker.started, [KEY])
        self.move(link.COMMAND_LIFE_S + 0.1)
        self.link.sync_once()
        self.assertEqual(self.worker.ended, {})

    def test_a_repeated_end_is_reported_once(self):
        self.link.sync_once()
        self.worker.ended[KEY] = jobs.TaskResult.SUCCEEDED
        self.link.sync_once()
        self.link.sync_once()
        self.assertEqual(len(self.list_events(events.TaskEnded)), 1)

    def test_a_lower_term_is_refused_and_reported(self):
        self.make_link(term=9).sync_once()
        self.link.sync_once()
        self.assertEqual(self.stale, [9])
        self.assertFalse(self.link.joined)

    def test_a_wrong_address_does_not_lose_a_worker_that_answers(self):
        self.link.sync_once()
        wrong = dataclasses.replace(fakes.make_worker(), address="w:1")
        self.link.change_worker(wrong)
        for number in range(20):
            self.worker.losing = number % 4 == 0
            self.link.sync_once()
            self.move(0.5)
        self.assertEqual(self.list_events(events.WorkerUnreachable), [])

    def test_a_worker_that_moved_is_found_at_its_new_address(self):
        moved = fakes.FakeWorker(clock=self.worker_clock, address="w:2")
        self.link.sync_once()
        self.worker.down = True
        self.link.make_client = lambda worker: (
            moved if worker.address == "w:2" else self.worker
        )
        self.link.change_worker(
            dataclasses.replace(fakes.make_worker(), address="w:2")
        )
        for _ in range(3):
            self.link.sync_once()
        self.assertEqual(moved.term, 5)
        self.assertTrue(self.link.reachable)

    def test_requests_are_listed_as_running(self):
        self.worker.requests = ("0.r",)
        self.link.sync_once()
        joined = self.list_events(events.WorkerJoined)[0]
        self.assertEqual(joined.running[0].key.job_id, "0.r")
        self.assertEqual(joined.running[0].used.slots, 1)


if __name__ == "__main__":
    unittest.main()
