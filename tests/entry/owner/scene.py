"""Owners of one shard in virtual time, with three workers and a store."""

import unittest
from unittest import mock

from hickoryreach.structure import jobs
from hickoryreach.structure import resources
from hickoryreach.structure import workspaces
from hickoryreach.wire import messages
from hickoryreach_entry.config import settings as entry_settings
from hickoryreach_entry.owner import link
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


class OwnerCase(unittest.TestCase):
    """Base with a scene in virtual time."""

    def setUp(self):
        self.scene = Scene()
        self.enterContext(self.scene.clock.in_force())
        self.enterContext(mock.patch.object(link.WorkerLink, "start"))
        self.enterContext(mock.patch("gevent.sleep"))


class RequestCase(OwnerCase):
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
