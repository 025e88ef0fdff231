"""The owner of one shard: journal, decision loop and worker links."""

from collections.abc import Callable
import logging
import time

import gevent
from gevent import queue
from returns import result

from hickoryreach.decisions import effects
from hickoryreach.decisions import events
from hickoryreach.decisions import reducer
from hickoryreach.decisions import settings as decision_settings
from hickoryreach.decisions import state
from hickoryreach.structure import jobs
from hickoryreach.structure import workspaces
from hickoryreach.trial import instances
from hickoryreach.trial import store
from hickoryreach.wire import messages
from hickoryreach_entry import assignment
from hickoryreach_entry import clock
from hickoryreach_entry import greenlets
from hickoryreach_entry import metrics
from hickoryreach_entry.config import settings as entry_settings
from hickoryreach_entry.owner import carriers
from hickoryreach_entry.owner import entitlements
from hickoryreach_entry.owner import inherited_requests
from hickoryreach_entry.owner import intake
from hickoryreach_entry.owner import journal
from hickoryreach_entry.owner import link
from hickoryreach_entry.owner import notices
from hickoryreach_entry.owner import recovery
from hickoryreach_entry.owner import requests
from hickoryreach_entry.owner import roster

log = logging.getLogger(__name__)

TICK_S = 0.05
INSTANCES_S = 1.0
ITEMS_PER_TURN = 16
FLUSH_S = 2.0
FAR_AHEAD_MS = 10**12
REMEMBERED_LIMIT = 100_000
FORGET_MS = 60_000
FINAL_JOBS_LIMIT = 20_000


class ShardOwner:
    """Owns one shard until stopped or until another owner takes it.

    Attributes:
        shard: The shard.
        state: What the reducer decides from.
        journal: What must last.
        roster: Links to the workers.
        requests: Requests in flight.
        intake: Messages of entries.
        inherited_requests: Requests that an earlier owner left open.
        entitlements: The lists and budgets in force here.
        watchers: Entries to tell about a job, by job id.
        unkept: Final notices whose record is not kept yet, by job id.
        ending: The end being reduced, if any.
        ready: Whether the journal is taken and messages are.
        owning: Whether others are told that this entry owns the shard.
        deciding: Whether events are reduced.
        stopped: Whether the shard was given up.
    """

    def __init__(
        self,
        *,
        shard: int,
        settings: entry_settings.Settings,
        client: store.Store,
        send: Callable[[str, str, object], None],
        get_entitlements: Callable[[], tuple[workspaces.Entitlement, ...]],
        on_lost: Callable[[int], None],
        on_ready: Callable[[], None] = lambda: None,
        on_cut: Callable[[int], None] = lambda shard: None,
        count_entries: Callable[[], int] = lambda: 1,
        is_member: Callable[[str], bool] = lambda name: True,
        instances_client: store.Store | None = None,
    ) -> None:
        """Creates an owner that has taken nothing yet."""
        self.shard = shard
        self.settings = settings
        self.client = client
        self.instances_client = instances_client or client
        self.send = send
        self.on_lost = on_lost
        self.on_ready = on_ready
        self.on_cut = on_cut
        self.count_entries = count_entries
        self.is_member = is_member
        self.state = state.ShardState(
            settings=decision_settings.Settings(
                forget_ms=FORGET_MS, final_jobs_limit=FINAL_JOBS_LIMIT
            )
        )
        self.requests = requests.Requests()
        self.watchers: dict[str, set[str]] = {}
        self.inbox: queue.Queue = queue.Queue()
        self.ready = False
        self.owning = False
        self.deciding = True
        self.stopped = False
        self.ending: events.TaskEnded | None = None
        self.unkept: dict[str, messages.Notice] = {}
        self.began = time.monotonic()
        self.journal = journal.Journal(
            client=client,
            shard=shard,
            owner=settings.name,
            commit_s=settings.commit_ms / 1000,
            spacing_s=settings.shards
            / (settings.store_writes_per_s * journal.WRITES_PART),
            on_lost=lambda: on_lost(shard),
            on_kept=self.take_proof,
        )
        self.roster = roster.Roster(
            shard=shard,
            owner=settings.name,
            log_book=self.journal,
            lengths=link.Lengths(
                grant_s=settings.grant_ms / 1000,
                task_lease_s=settings.task_lease_ms / 1000,
                sync_s=settings.sync_ms / 1000,
            ),
            emit=self.emit,
            on_reply=self.review_requests,
            may_lose=lambda worker_id: (
                not self.requests.is_used(worker_id, time.monotonic())
            ),
            name_request=self.requests.name,
        )
        self.intake = intake.Intake(owner=self)
        self.inherited_requests = inherited_requests.InheritedRequests(
            owner=self
        )
        self.entitlements = entitlements.Entitlements(
            owner=self, client=client, get_entitlements=get_entitlements
        )

    def start(self) -> None:
        """Takes the shard in the background."""
        greenlets.spawn_vital(self.run)

    def stop(self) -> None:
        """Gives the shard up at once."""
        self.stopped = True
        self.ready = False
        self.owning = False
        self.journal.close()
        self.roster.stop()
        self.inbox.put((lambda argument: None, None))

    def release(self) -> None:
        """Hands the shard over: keeps what waits, then gives it up."""
        self.ready = False
        self.deciding = False
        flushed = self.journal.flush(FLUSH_S)
        if flushed:
            self.finish_inbox()
            self.void_unsent()
            flushed = self.journal.flush(FLUSH_S)
        log.info(
            "shard_released", extra={"shard": self.shard, "flushed": flushed}
        )
        self.stop()

    def finish_inbox(self) -> None:
        """Handles what waits, so that each kept intent has met its link."""
        while not self.inbox.empty():
            handle, argument = self.inbox.get_nowait()
            handle(argument)

    def void_unsent(self) -> None:
        """Journals that starts which were never sent are not carried out.

        The next owner would find their intents and call them unknown.
        """
        for key in self.roster.withdraw_unsent():
            carriers.void_intent(self, key)

    def take_proof(self, sent: float) -> None:
        """Counts a kept segment as a proof of ownership."""
        self.roster.authority.take_proof(sent)

    def run(self) -> None:
        """Takes the journal, then decides until stopped."""
        taken = self.journal.take()
        while isinstance(taken, result.Failure) and not self.stopped:
            gevent.sleep(journal.RETRY_S)
            taken = self.journal.take()
        if self.stopped:
            return
        metrics.takeover_seconds.labels("taken").observe(
            time.monotonic() - self.began
        )
        log.info(
            "shard_taken",
            extra={
                "shard": self.shard,
                "term": self.journal.term,
                "jobs": len(self.journal.image.jobs),
                "segments": len(self.journal.image.segments),
            },
        )
        self.restore()
        self.journal.start()
        greenlets.spawn_vital(self.follow_instances)
        greenlets.spawn_vital(self.tick_forever)
        if self.settings.shards > 1:
            greenlets.spawn_vital(self.entitlements.balance_forever)
        self.ready = True
        self.owning = True
        self.on_ready()
        self.decide_forever()

    def restore(self) -> None:
        """Takes over what the journal tells."""
        self.state.term = self.journal.term
        self.entitlements.budgets.term = self.journal.term
        self.roster.begin(self.journal.image.worker_ids, time.monotonic())
        self.entitlements.apply()
        self.forget_finished()
        for progress in tuple(self.journal.image.jobs.values()):
            if progress.job is None or progress.finished is not None:
                continue
            if not self.inherited_requests.keep(progress):
                self.apply(recovery.restore_job(progress, FAR_AHEAD_MS))

    def decide_forever(self) -> None:
        """Handles the inbox, one item at a time."""
        handled = 0
        while not self.stopped:
            handle, argument = self.inbox.get()
            handle(argument)
            if self.state.has_more and self.inbox.empty():
                self.emit(events.Ticked())
            handled += 1
            if handled % ITEMS_PER_TURN == 0:
                gevent.sleep(0)

    def emit(self, event: events.Event) -> None:
        """Queues an event for the reducer."""
        self.inbox.put((self.apply, event))

    def call(self, handle: Callable[[object], None], argument: object) -> None:
        """Queues a call for the decision loop."""
        self.inbox.put((handle, argument))

    def apply(self, event: events.Event) -> None:
        """Reduces one event and carries out its effects."""
        if self.stopped or not self.deciding:
            return
        if isinstance(event, events.TaskEnded):
            self.requests.settle(event.key)
            if event.result is jobs.TaskResult.NOT_RUN:
                carriers.void_intent(self, event.key)
        self.ending = event if isinstance(event, events.TaskEnded) else None
        started = time.perf_counter()
        decided = reducer.reduce(self.state, event, clock.now_ms())
        settled = False
        for effect in decided:
            settled = settled or is_settling(effect, event)
            carriers.carriers.find(type(effect))(self, effect)
        metrics.decision_seconds.observe(time.perf_counter() - started)
        if isinstance(event, events.TaskEnded) and not settled:
            self.acknowledge(event.worker_id, event.key)

    def acknowledge(self, worker_id: str, key: jobs.TaskKey) -> None:
        """Lets the worker forget an end that is taken in."""
        worker_link = self.roster.links.get(worker_id)
        if worker_link is not None:
            worker_link.commands.acknowledge(key)

    def tick_forever(self) -> None:
        """Sends the passing of time."""
        turns = 0
        while not self.stopped:
            gevent.sleep(TICK_S)
            now = time.monotonic()
            self.roster.tick(now)
            self.emit(events.Ticked())
            turns += 1
            if turns * TICK_S >= INSTANCES_S:
                turns = 0
                self.call(self.review, now)

    def review(self, now: float) -> None:
        """Looks once a second at what is due."""
        shard = str(self.shard)
        metrics.inbox_length.labels(shard).set(self.inbox.qsize())
        metrics.journal_waiting.labels(shard).set(len(self.journal.waiting))
        if self.roster.is_cut(now):
            self.on_cut(self.shard)
        for event in self.requests.list_overdue(now):
            self.apply(event)
        carriers.drop_unheld(self, now)
        self.inherited_requests.review(now)
        self.intake.forget(now)
        self.forget_finished()

    def forget_finished(self) -> None:
        """Forgets finished jobs whose time has passed."""
        horizon_ms = int(time.time() * 1000) - (
            self.settings.finished_retention_s * 1000
        )
        self.journal.image.forget_before(horizon_ms)
        self.journal.image.trim(REMEMBERED_LIMIT)

    def review_requests(self, worker_link: link.WorkerLink) -> None:
        """Ends requests that a worker's list rules out."""
        for event in self.requests.list_gone(worker_link):
            self.emit(event)

    def follow_instances(self) -> None:
        """Follows the platform's list of this shard's workers."""
        while not self.stopped:
            listed = instances.get_workers(self.instances_client)
            if isinstance(listed, result.Success):
                mine = tuple(
                    worker
                    for worker in listed.unwrap()
                    if assignment.shard_of_worker(
                        worker.worker_id, self.settings.shards
                    )
                    == self.shard
                )
                self.roster.take_list(mine, time.monotonic())
            gevent.sleep(INSTANCES_S)

    def take_envelope(self, envelope: messages.Envelope) -> None:
        """Queues the messages of one entry."""
        self.intake.take_envelope(envelope)

    def describe(self, job_id: str) -> messages.Notice:
        """Returns what is known of a job."""
        record = self.state.jobs.get(job_id)
        answered = self.intake.answers.get(job_id)
        if answered is not None:
            return answered
        if job_id in self.unkept:
            return notices.describe_unkept(
                self.unkept[job_id], told=not self.journal.healthy
            )
        progress = self.journal.image.jobs.get(job_id)
        if progress is not None and progress.finished is not None:
            return notices.describe_finished(progress.finished)
        if record is not None:
            return notices.describe_record(record)
        inherited = self.requests.inherited.get(job_id)
        if inherited is not None:
            return notices.describe_progress(inherited.progress)
        return notices.describe_absent(job_id)

    def tell(self, job_id: str, notice: messages.Notice) -> None:
        """Sends a notice to the entries that wait for a job."""
        for name in self.watchers.get(job_id, ()):
            self.send(name, "notices", notice)
        if jobs.JobState(notice.state).is_final:
            self.watchers.pop(job_id, None)
            self.requests.holders.pop(job_id, None)


def is_settling(effect: effects.Effect, event: events.Event) -> bool:
    """Returns whether an effect records the end that an event tells."""
    return (
        isinstance(effect, effects.TaskSettled)
        and isinstance(event, events.TaskEnded)
        and effect.key == event.key
    )
