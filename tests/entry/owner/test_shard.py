"""Tests of owners of one shard that take over from one another."""

import unittest
from unittest import mock

from hickoryreach.structure import jobs
from hickoryreach.structure import resources
from hickoryreach.structure import workspaces
from hickoryreach.wire import messages
from hickoryreach_entry.config import settings as entry_settings
from hickoryreach_entry.owner import intake
from hickoryreach_entry.owner import link
from hickoryreach_entry.owner import roster
from hickoryreach_entry.owner import shard as owner_shard
from tests.entry import fakes

WORKERS = ("w1", "w2", "w3")


class Scene:
    """One shard with three workers, and owners driven step by step.

    Attributes:
        clock: Time of everything.
        store: The store.
        workers: Workers by id.
        sent: Messages to entries: owner, entry, field and message.
    """

    def __init__(self) -> None:
        """Creates a shard that nobody owns."""
        self.clock = fakes.Clock()
        self.store = fakes.FakeStore()
        self.workers = {
            name: fakes.FakeWorker(clock=self.clock) for name in WORKERS
        }
        self.sent: list[tuple] = []
        self.cut: set[tuple[str, str]] = set()
        self.members = {"e1", "e2", "e3"}

    def take(self, name: str) -> owner_shard.ShardOwner:
        """Returns an owner that has taken the journal."""
        owner = owner_shard.ShardOwner(
            shard=0,
            settings=entry_settings.Settings(name=name, failure_domain="a"),
            client=self.store,
            send=lambda entry, field, message: self.sent.append(
                (name, entry, field, message)
            ),
            get_entitlements=lambda: (
                workspaces.Entitlement(workspace="north"),
            ),
            on_lost=lambda shard: owner.stop(),
            is_member=lambda entry: entry in self.members,
        )
        owner.roster.make_client = lambda worker: Line(
            scene=self, owner=name, worker_id=worker.worker_id
        )
        owner.journal.take().unwrap()
        owner.restore()
        owner.ready = True
        self.list_workers(owner)
        return owner

    def list_workers(self, owner: owner_shard.ShardOwner) -> None:
        """Gives an owner the platform's list."""
        listed = tuple(fakes.make_worker(name) for name in WORKERS)
        owner.roster.take_list(listed, self.clock())
        self.run(owner)

    def run(self, *owners: owner_shard.ShardOwner, syncs: int = 3) -> None:
        """Lets owners write, sync and decide until they are quiet."""
        for _ in range(syncs):
            for owner in owners:
                owner.journal.write_waiting()
                self.decide(owner)
                if not owner.stopped:
                    for worker_link in list(owner.roster.links.values()):
                        worker_link.sync_once()
                self.decide(owner)
                owner.journal.write_waiting()

    def decide(self, owner: owner_shard.ShardOwner) -> None:
        """Handles what waits in an owner's inbox."""
        while not owner.inbox.empty() and not owner.stopped:
            handle, argument = owner.inbox.get()
            handle(argument)

    def move(self, seconds: float, *owners: owner_shard.ShardOwner) -> None:
        """Lets time pass while owners go on."""
        for _ in range(int(seconds * 2)):
            self.clock.move(0.5)
            for worker in self.workers.values():
                worker.sweep()
            for owner in owners:
                if not owner.stopped:
                    owner.roster.tick(self.clock())
                    owner.call(owner.review, self.clock())
                    owner.emit(owner_shard.events.Ticked())
            self.run(*owners, syncs=1)

    def submit(
        self, owner: owner_shard.ShardOwner, job: jobs.Job, **fields
    ) -> None:
        """Gives an owner a submission of entry e3."""
        submission = messages.Submission(
            job=messages.pack_job(job), call_id="c1", **fields
        )
        owner.take_envelope(
            messages.Envelope(
                sender="e3",
                submissions=[submission],
                queries=[],
                cancellations=[],
                outcomes=[],
            )
        )
        self.run(owner)

    def report(
        self, owner: owner_shard.ShardOwner, dispatch: messages.Dispatch, how
    ) -> None:
        """Gives an owner the outcome of a dispatch."""
        outcome = messages.Outcome(
            job_id=dispatch.job_id,
            attempt=dispatch.attempt,
            worker_id=dispatch.worker_id,
            result=str(how),
            answer=b"done",
            status=200,
            term=dispatch.term,
        )
        owner.intake.take_outcome(("e3", outcome))
        self.run(owner)

    def list_sent(self, field: str) -> list:
        """Returns the messages of one field sent so far."""
        return [row[3] for row in self.sent if row[2] == field]

    def list_started(self) -> list[jobs.TaskKey]:
        """Returns every start that a worker carried out."""
        return [key for each in self.workers.values() for key in each.started]

    def list_running(self) -> list[jobs.TaskKey]:
        """Returns every task that runs now."""
        return [key for each in self.workers.values() for key in each.tasks]


class Line:
    """The line from one owner to one worker, which may be cut.

    Attributes:
        address: Address of the worker.
    """

    def __init__(self, *, scene: Scene, owner: str, worker_id: str) -> None:
        """Creates a line."""
        self.scene = scene
        self.ends = (owner, worker_id)
        self.worker = scene.workers[worker_id]
        self.address = fakes.make_worker().address

    def sync(self, request):
        """Sends a sync unless the line is cut."""
        if self.ends in self.scene.cut:
            failure = fakes.exceptions.WorkerFailure(reason="cut")
            return fakes.result.Failure(failure)
        return self.worker.sync(request)

    def close(self) -> None:
        """Closes nothing."""


def make_job(**fields) -> jobs.Job:
    """Returns a batch job of one task."""
    defaults = {
        "job_id": "0.a",
        "workspace": "north",
        "digest": "d1",
        "need": resources.Resources(cpu_millis=1_000),
    }
    return jobs.Job(**{**defaults, **fields})


def get_links(owner: owner_shard.ShardOwner) -> list[link.WorkerLink]:
    """Returns an owner's links."""
    return list(owner.roster.links.values())


def make_request(**fields) -> jobs.Job:
    """Returns a request that is not idempotent."""
    defaults = {
        "kind": jobs.Kind.REQUEST,
        "service": "registry",
        "idempotent": False,
        "need": resources.Resources(slots=1),
    }
    return make_job(**{**defaults, **fields})


class OwnerTest(unittest.TestCase):
    """Base with a scene in virtual time."""

    def setUp(self):
        self.scene = Scene()
        self.enterContext(self.scene.clock.in_force())
        self.enterContext(mock.patch.object(link.WorkerLink, "start"))
        self.enterContext(mock.patch("gevent.sleep"))


class TakeoverTest(OwnerTest):
    """Batch tasks across a change of owner."""

    def test_a_task_that_runs_is_adopted(self):
        first = self.scene.take("e1")
        self.scene.run(first)
        self.scene.submit(first, make_job())
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
        self.scene.submit(second, make_job())
        self.scene.move(30, second)
        self.assertEqual(self.scene.list_started(), [])
        self.scene.cut.clear()
        self.scene.move(2, second)
        self.assertEqual(len(self.scene.list_started()), 1)

    def test_a_task_on_an_unheard_worker_is_not_started_again_early(self):
        first = self.scene.take("e1")
        self.scene.run(first)
        self.scene.submit(first, make_job())
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
        self.scene.submit(first, make_job())
        holder = next(n for n, w in self.scene.workers.items() if w.tasks)
        others = set(WORKERS) - {holder}
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
            self.scene.submit(first, make_job(idempotent=False))
        self.assertTrue(any(each.operations for each in get_links(first)))
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
        self.scene.submit(first, make_job())
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
        self.scene.submit(first, make_job())
        self.assertTrue(first.stopped)
        self.assertEqual(self.scene.list_started(), [])

    def test_work_goes_on_while_the_store_is_down(self):
        owner = self.scene.take("e1")
        self.scene.run(owner)
        self.scene.submit(owner, make_job(tasks=60))
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
        self.scene.submit(owner, make_job())
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
        self.scene.submit(owner, make_job())
        self.scene.move(2, owner)
        self.assertEqual(len(self.scene.list_started()), 1)

    def test_one_worker_that_lies_about_its_term_changes_nothing(self):
        owner = self.scene.take("e1")
        self.scene.run(owner)
        self.scene.workers["w1"].term = 10**9
        self.scene.move(12, owner)
        self.assertFalse(owner.stopped)
        self.assertLess(owner.journal.term, 10**9)


class MembersTest(OwnerTest):
    """Changes of the worker set."""

    def test_an_empty_list_is_not_believed(self):
        owner = self.scene.take("e1")
        self.scene.run(owner)
        owner.roster.take_list((), self.scene.clock())
        self.scene.move(2, owner)
        self.assertEqual(owner.roster.members, set(WORKERS))
        departing = [x.worker.departing for x in owner.roster.links.values()]
        self.assertEqual(departing, [False] * 3)

    def test_an_unlisted_worker_gets_no_work_and_leaves_when_idle(self):
        owner = self.scene.take("e1")
        self.scene.run(owner)
        rest = tuple(fakes.make_worker(name) for name in ("w1", "w2"))
        for _ in range(80):
            owner.roster.take_list(rest, self.scene.clock())
            self.scene.move(0.5, owner)
            self.scene.submit(owner, make_job())
        self.assertEqual(owner.roster.members, {"w1", "w2"})
        self.assertEqual(self.scene.workers["w3"].started, [])
        second = self.scene.take("e2")
        self.assertNotIn("w3", second.journal.image.worker_ids)


class RequestTest(OwnerTest):
    """Non-idempotent requests across faults."""

    def setUp(self):
        super().setUp()
        self.owner = self.scene.take("e1")
        self.scene.run(self.owner)

    def submit(self) -> messages.Dispatch:
        """Submits a request and returns its dispatch."""
        self.scene.submit(self.owner, make_request())
        return self.scene.list_sent("dispatches")[-1]

    def get_state(self, owner: owner_shard.ShardOwner) -> str:
        """Returns the state that an owner tells."""
        return owner.describe("0.a").state

    def test_the_intent_is_kept_before_the_dispatch(self):
        self.owner.journal.write_waiting = lambda: None
        self.owner.intake.accepting["0.a"] = "d1"
        self.owner.intake.finish_accept(("e3", make_request(), True))
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
        self.scene.submit(second, make_request(), sent=True, repeated=True)
        self.assertEqual(len(self.scene.list_sent("dispatches")), 1)
        self.scene.report(second, dispatch, jobs.TaskResult.SUCCEEDED)
        self.assertEqual(self.get_state(second), "succeeded")

    def test_an_entry_that_never_sent_it_lets_it_be_sent_anew(self):
        self.submit()
        second = self.scene.take("e2")
        self.scene.move(1, second)
        barrier = second.journal.term
        self.scene.submit(second, make_request(), sent=False, barrier=barrier)
        self.scene.move(1, second)
        dispatches = self.scene.list_sent("dispatches")
        self.assertEqual(len(dispatches), 2)
        self.assertEqual(dispatches[1].term, second.journal.term)

    def test_an_entry_that_may_have_sent_it_does_not(self):
        self.submit()
        second = self.scene.take("e2")
        self.scene.move(1, second)
        barrier = second.journal.term
        self.scene.submit(second, make_request(), sent=True, barrier=barrier)
        self.scene.submit(second, make_request(), sent=False, barrier=1)
        self.scene.move(1, second)
        self.assertEqual(len(self.scene.list_sent("dispatches")), 1)

    def test_a_finished_request_is_answered_alike_after_a_takeover(self):
        dispatch = self.submit()
        self.scene.report(self.owner, dispatch, jobs.TaskResult.SUCCEEDED)
        second = self.scene.take("e2")
        self.scene.submit(second, make_request())
        told = self.scene.list_sent("notices")[-1]
        self.assertEqual((told.state, told.answer), ("succeeded", b"done"))
        self.scene.submit(second, make_request(digest="d2"))
        told = self.scene.list_sent("notices")[-1]
        self.assertEqual(told.reason, "request_id_reused")
        self.assertEqual(len(self.scene.list_sent("dispatches")), 1)

    def test_a_lost_dispatch_is_sent_again_with_the_same_attempt(self):
        dispatch = self.submit()
        self.scene.submit(self.owner, make_request(), repeated=True)
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
        request = make_request(idempotent=True)
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


class RefusalTest(OwnerTest):
    """What is refused, and how long that stands."""

    def setUp(self):
        super().setUp()
        self.owner = self.scene.take("e1")
        self.scene.run(self.owner)

    def test_new_durable_work_is_refused_while_the_store_is_down(self):
        self.owner.journal.healthy = False
        self.scene.submit(self.owner, make_job())
        told = self.scene.list_sent("notices")[-1]
        self.assertEqual((told.state, told.ran), ("refused", "not_run"))
        self.assertEqual(told.reason, "store_unavailable")

    def test_a_refused_call_stays_refused_when_a_late_copy_comes(self):
        self.owner.journal.healthy = False
        self.scene.submit(self.owner, make_job())
        self.owner.journal.healthy = True
        self.scene.submit(self.owner, make_job())
        self.scene.move(2, self.owner)
        self.assertEqual(self.scene.list_started(), [])
        self.scene.clock.move(intake.REFUSALS_S)
        self.scene.move(1, self.owner)
        self.scene.submit(self.owner, make_job())
        self.assertEqual(len(self.scene.list_started()), 1)

    def test_a_written_submission_is_never_called_not_run(self):
        self.owner.journal.write_waiting = lambda: None
        self.scene.submit(self.owner, make_job())
        self.owner.journal.healthy = False
        self.scene.submit(self.owner, make_job())
        self.assertEqual(self.scene.list_sent("notices"), [])


if __name__ == "__main__":
    unittest.main()
