"""Tests of owners of one shard that take over from one another."""

import unittest
from unittest import mock

from hickoryreach.structure import jobs
from hickoryreach_entry.owner import intake
from hickoryreach_entry.owner import link
from hickoryreach_entry.owner import roster
from tests.entry import fakes
from tests.entry.owner import scene


class TakeoverTest(scene.OwnerCase):
    """Batch tasks across a change of owner."""

    def test_a_task_that_runs_is_adopted(self):
        first = self.scene.take("e1")
        self.scene.run(first)
        self.scene.submit(first, scene.make_job())
        self.assertEqual(len(self.scene.list_running()), 1)
        second = self.scene.take("e2")
        self.scene.move(3, second)
        self.assertTrue(second.roster.cleared)
        self.assertEqual(len(self.scene.list_started()), 1)
        self.assertEqual(len(self.scene.list_running()), 1)

    def test_nothing_starts_without_a_majority(self):
        first = self.scene.take("e1")
        self.scene.run(first)
        self.scene.cut = {("e2", "w1"), ("e2", "w2")}
        second = self.scene.take("e2")
        self.scene.submit(second, scene.make_job())
        self.scene.move(30, second)
        self.assertEqual(self.scene.list_started(), [])
        self.scene.cut.clear()
        self.scene.move(2, second)
        self.assertEqual(len(self.scene.list_started()), 1)

    def test_a_task_on_an_unheard_worker_is_not_started_again_early(self):
        first = self.scene.take("e1")
        self.scene.run(first)
        self.scene.submit(first, scene.make_job())
        holder = next(n for n, w in self.scene.workers.items() if w.tasks)
        self.scene.cut = {("e2", holder)}
        second = self.scene.take("e2")
        for _ in range(60):
            self.scene.move(0.5, first, second)
            self.assertLessEqual(len(self.scene.list_running()), 1)
        self.assertEqual(len(self.scene.list_started()), 2)

    def test_an_owner_cut_from_the_store_stops_once_it_is_replaced(self):
        first = self.scene.take("e1")
        self.scene.run(first)
        self.scene.submit(first, scene.make_job())
        holder = next(n for n, w in self.scene.workers.items() if w.tasks)
        others = set(scene.WORKERS) - {holder}
        self.scene.cut = {("e2", holder)} | {("e1", name) for name in others}
        second = self.scene.take("e2")
        for _ in range(60):
            self.scene.move(0.5, first, second)
            self.assertLessEqual(len(self.scene.list_running()), 1)
        self.assertFalse(first.roster.authority.holds(self.scene.clock()))

    def test_a_start_never_sent_before_a_handover_is_run_by_the_next(self):
        first = self.scene.take("e1")
        self.scene.run(first)
        with mock.patch.object(link.WorkerLink, "sync_once"):
            self.scene.submit(first, scene.make_job(idempotent=False))
        self.assertTrue(
            any(each.commands.operations for each in scene.get_links(first))
        )
        with mock.patch.object(
            first.journal, "flush", lambda _: first.journal.write_waiting() or 1
        ):
            first.release()
        second = self.scene.take("e2")
        self.scene.move(3, second)
        self.assertEqual(len(self.scene.list_running()), 1)

    def test_an_owner_paused_across_a_takeover_starts_nothing(self):
        first = self.scene.take("e1")
        self.scene.run(first)
        for worker in self.scene.workers.values():
            worker.delaying = True
        self.scene.submit(first, scene.make_job())
        for worker in self.scene.workers.values():
            worker.delaying = False
        self.scene.clock.move(20)
        second = self.scene.take("e2")
        self.scene.move(3, second)
        for worker in self.scene.workers.values():
            worker.deliver()
        self.assertEqual(len(self.scene.list_started()), 1)

    def test_an_owner_replaced_in_the_journal_gives_up(self):
        first = self.scene.take("e1")
        self.scene.run(first)
        second = self.scene.take("e2")
        self.scene.move(3, second)
        self.scene.submit(first, scene.make_job())
        self.assertTrue(first.stopped)
        self.assertEqual(self.scene.list_started(), [])

    def test_work_goes_on_while_the_store_is_down(self):
        owner = self.scene.take("e1")
        self.scene.run(owner)
        self.scene.submit(owner, scene.make_job(tasks=60))
        owner.journal.write_waiting = lambda: None
        owner.journal.healthy = False
        for _ in range(4):
            for worker in self.scene.workers.values():
                for key in list(worker.tasks):
                    worker.end(key, jobs.TaskResult.SUCCEEDED)
            self.scene.move(2, owner)
        self.assertEqual(len(self.scene.list_started()), 60)
        final = self.scene.list_sent("notices")[-1]
        self.assertEqual(final.state, "succeeded")

    def test_an_end_is_kept_before_the_worker_forgets_it(self):
        owner = self.scene.take("e1")
        self.scene.run(owner)
        self.scene.submit(owner, scene.make_job())
        write = owner.journal.write_waiting
        owner.journal.write_waiting = lambda: None
        worker = next(w for w in self.scene.workers.values() if w.tasks)
        worker.end(next(iter(worker.tasks)), jobs.TaskResult.SUCCEEDED)
        self.scene.move(4, owner)
        self.assertTrue(worker.ended)
        owner.journal.write_waiting = write
        self.scene.move(4, owner)
        self.assertFalse(worker.ended)

    def test_a_restored_store_raises_the_term_above_the_workers(self):
        backup = self.scene.store.save()
        for name in ("e1", "e2", "e1"):
            self.scene.move(1, self.scene.take(name))
        self.scene.store.restore(backup)
        with self.assertLogs(roster.log, "ERROR"):
            owner = self.scene.take("e3")
            self.scene.move(5, owner)
        self.scene.submit(owner, scene.make_job())
        self.scene.move(2, owner)
        self.assertEqual(len(self.scene.list_started()), 1)

    def test_one_worker_that_lies_about_its_term_changes_nothing(self):
        owner = self.scene.take("e1")
        self.scene.run(owner)
        self.scene.workers["w1"].term = 10**9
        self.scene.move(12, owner)
        self.assertFalse(owner.stopped)
        self.assertLess(owner.journal.term, 10**9)


class MembersTest(scene.OwnerCase):
    """Changes of the worker set."""

    def test_an_empty_list_is_not_believed(self):
        owner = self.scene.take("e1")
        self.scene.run(owner)
        owner.roster.take_list((), self.scene.clock())
        self.scene.move(2, owner)
        self.assertEqual(owner.roster.members, set(scene.WORKERS))
        departing = [x.worker.departing for x in owner.roster.links.values()]
        self.assertEqual(departing, [False] * 3)

    def test_an_unlisted_worker_gets_no_work_and_leaves_when_idle(self):
        owner = self.scene.take("e1")
        self.scene.run(owner)
        rest = tuple(fakes.make_worker(name) for name in ("w1", "w2"))
        for _ in range(80):
            owner.roster.take_list(rest, self.scene.clock())
            self.scene.move(0.5, owner)
            self.scene.submit(owner, scene.make_job())
        self.assertEqual(owner.roster.members, {"w1", "w2"})
        self.assertEqual(self.scene.workers["w3"].started, [])
        second = self.scene.take("e2")
        self.assertNotIn("w3", second.journal.image.worker_ids)


class RequestTest(scene.RequestCase):
    """Non-idempotent requests across faults."""

    def test_the_intent_is_kept_before_the_dispatch(self):
        self.owner.journal.write_waiting = lambda: None
        self.owner.intake.accepting["0.a"] = "d1"
        self.owner.intake.finish_accept(("e3", scene.make_request(), True))
        self.scene.run(self.owner)
        self.assertEqual(self.scene.list_sent("dispatches"), [])
        del self.owner.journal.write_waiting
        self.scene.run(self.owner)
        self.assertEqual(len(self.scene.list_sent("dispatches")), 1)

    def test_an_outcome_is_confirmed_once_it_is_kept(self):
        dispatch = self.submit()
        self.owner.journal.write_waiting = lambda: None
        self.scene.report(self.owner, dispatch, jobs.TaskResult.SUCCEEDED)
        confirmed = [n for n in self.scene.list_sent("notices") if n.taken_term]
        self.assertEqual(confirmed, [])
        del self.owner.journal.write_waiting
        self.scene.run(self.owner)
        confirmed = [n for n in self.scene.list_sent("notices") if n.taken_term]
        self.assertEqual(confirmed[-1].taken_attempt, dispatch.attempt)
        self.assertEqual(confirmed[-1].answer, b"done")

    def test_a_finished_request_is_answered_alike_after_a_takeover(self):
        dispatch = self.submit()
        self.scene.report(self.owner, dispatch, jobs.TaskResult.SUCCEEDED)
        second = self.scene.take("e2")
        self.scene.submit(second, scene.make_request())
        told = self.scene.list_sent("notices")[-1]
        self.assertEqual((told.state, told.answer), ("succeeded", b"done"))
        self.scene.submit(second, scene.make_request(digest="d2"))
        told = self.scene.list_sent("notices")[-1]
        self.assertEqual(told.reason, "request_id_reused")
        self.assertEqual(len(self.scene.list_sent("dispatches")), 1)

    def test_a_lost_dispatch_is_sent_again_with_the_same_attempt(self):
        dispatch = self.submit()
        self.scene.submit(self.owner, scene.make_request(), repeated=True)
        again = self.scene.list_sent("dispatches")[-1]
        self.assertEqual(again.attempt, dispatch.attempt)
        self.assertEqual(len(self.scene.list_sent("dispatches")), 2)

    def test_a_vanished_entry_frees_the_slot_when_the_worker_is_done(self):
        dispatch = self.submit()
        self.scene.workers[dispatch.worker_id].requests = ("0.a",)
        self.scene.move(3, self.owner)
        self.scene.members.discard("e3")
        self.scene.move(10, self.owner)
        self.assertEqual(self.get_state(self.owner), "running")
        self.scene.workers[dispatch.worker_id].requests = ()
        self.scene.move(10, self.owner)
        self.assertEqual(self.get_state(self.owner), "unknown")

    def test_an_unclear_idempotent_request_is_not_sent_while_listed(self):
        request = scene.make_request(idempotent=True)
        self.scene.submit(self.owner, request)
        dispatch = self.scene.list_sent("dispatches")[-1]
        self.scene.workers[dispatch.worker_id].requests = ("0.a",)
        self.scene.move(1, self.owner)
        self.scene.report(self.owner, dispatch, jobs.TaskResult.UNKNOWN)
        self.scene.move(3, self.owner)
        self.assertEqual(len(self.scene.list_sent("dispatches")), 1)
        self.scene.workers[dispatch.worker_id].requests = ()
        self.scene.move(5, self.owner)
        self.assertEqual(len(self.scene.list_sent("dispatches")), 2)


class RefusalTest(scene.OwnerCase):
    """What is refused, and how long that stands."""

    def setUp(self):
        super().setUp()
        self.owner = self.scene.take("e1")
        self.scene.run(self.owner)

    def test_new_durable_work_is_refused_while_the_store_is_down(self):
        self.owner.journal.healthy = False
        self.scene.submit(self.owner, scene.make_job())
        told = self.scene.list_sent("notices")[-1]
        self.assertEqual((told.state, told.ran), ("refused", "not_run"))
        self.assertEqual(told.reason, "store_unavailable")

    def test_a_refused_call_stays_refused_when_a_late_copy_comes(self):
        self.owner.journal.healthy = False
        self.scene.submit(self.owner, scene.make_job())
        self.owner.journal.healthy = True
        self.scene.submit(self.owner, scene.make_job())
        self.scene.move(2, self.owner)
        self.assertEqual(self.scene.list_started(), [])
        self.scene.clock.move(intake.REFUSALS_S)
        self.scene.move(1, self.owner)
        self.scene.submit(self.owner, scene.make_job())
        self.assertEqual(len(self.scene.list_started()), 1)

    def test_a_written_submission_is_never_called_not_run(self):
        self.owner.journal.write_waiting = lambda: None
        self.scene.submit(self.owner, scene.make_job())
        self.owner.journal.healthy = False
        self.scene.submit(self.owner, scene.make_job())
        self.assertEqual(self.scene.list_sent("notices"), [])


if __name__ == "__main__":
    unittest.main()
