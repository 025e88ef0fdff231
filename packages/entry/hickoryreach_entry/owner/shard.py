"""The owner of one shard: journal, decision loop and worker links."""

from collections.abc import Callable
import logging
import time

import gevent
from gevent import queue
from returns import result

from hickoryreach.decisions import admission
from hickoryreach.decisions import effects
from hickoryreach.decisions import events
from hickoryreach.decisions import reducer
from hickoryreach.decisions import registry
from hickoryreach.decisions import state
from hickoryreach.platform import instances
from hickoryreach.platform import store
from hickoryreach.platform import workers as platform_workers
from hickoryreach.structure import jobs
from hickoryreach.structure import workspaces
from hickoryreach.wire import messages
from hickoryreach_entry import assignment
from hickoryreach_entry.config import settings as entry_settings
from hickoryreach_entry.owner import journal
from hickoryreach_entry.owner import link
from hickoryreach_entry.owner import records
from hickoryreach_entry.owner import recovery

log = logging.getLogger(__name__)

TICK_S = 0.05
INSTANCES_S = 1.0

carriers: registry.Registry[type, Callable] = registry.Registry(
    title="effect carriers"
)


class ShardOwner:
    """Owns one shard until stopped or until another owner takes it.

    Attributes:
        shard: The shard.
        state: What the reducer decides from.
        links: Links to the workers, by id.
        watchers: Entries to tell about a job, by job id.
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
    ) -> None:
        """Creates an owner that has taken nothing yet."""
        self.shard = shard
        self.settings = settings
        self.client = client
        self.send = send
        self.get_entitlements = get_entitlements
        self.on_lost = on_lost
        self.state = state.ShardState()
        self.links: dict[str, link.WorkerLink] = {}
        self.watchers: dict[str, set[str]] = {}
        self.finished: dict[str, records.JobFinished] = {}
        self.accepting: set[str] = set()
        self.inbox: queue.Queue = queue.Queue()
        self.ready = False
        self.stopped = False
        self.journal = journal.Journal(
            client=client,
            shard=shard,
            owner=settings.name,
            commit_s=settings.commit_ms / 1000,
            on_lost=lambda: on_lost(shard),
        )

    def start(self) -> None:
        """Takes the shard in the background."""
        gevent.spawn(self.run)

    def stop(self) -> None:
        """Gives the shard up at once."""
        self.stopped = True
        self.ready = False
        self.journal.close()
        for worker_link in self.links.values():
            worker_link.stop()

    def run(self) -> None:
        """Takes the journal, then decides until stopped."""
        taken = self.journal.take()
        while isinstance(taken, result.Failure) and not self.stopped:
            gevent.sleep(journal.RETRY_S)
            taken = self.journal.take()
        if self.stopped:
            return
        log.info(
            "shard_taken",
            extra={"shard": self.shard, "term": self.journal.term},
        )
        self.journal.start()
        self.restore(taken.unwrap())
        gevent.spawn(self.follow_instances)
        gevent.spawn(self.tick_forever)
        self.ready = True
        self.decide_forever()

    def restore(self, journaled: list[records.Record]) -> None:
        """Takes over the jobs in the journal."""
        self.apply(
            events.EntitlementsChanged(entitlements=self.get_entitlements())
        )
        found = recovery.read_progress(journaled)
        for job_id, progress in found.items():
            if progress.finished is not None:
                self.finished[job_id] = progress.finished
        hold = self.settings.grant_ms + self.settings.task_lease_ms
        for event in recovery.restore_jobs(found, now_ms() + hold):
            self.apply(event)

    def decide_forever(self) -> None:
        """Handles the inbox, one item at a time."""
        while not self.stopped:
            handle, argument = self.inbox.get()
            handle(argument)

    def emit(self, event: events.Event) -> None:
        """Queues an event for the reducer."""
        self.inbox.put((self.apply, event))

    def apply(self, event: events.Event) -> None:
        """Reduces one event and carries out its effects."""
        if self.stopped:
            return
        for effect in reducer.reduce(self.state, event, now_ms()):
            carriers.find(type(effect))(self, effect)
        if isinstance(event, events.TaskEnded):
            self.acknowledge(event)

    def acknowledge(self, event: events.TaskEnded) -> None:
        """Lets the worker forget an end that was taken in."""
        worker_link = self.links.get(event.worker_id)
        if worker_link is not None:
            worker_link.acknowledge(event.key)

    def tick_forever(self) -> None:
        """Sends the passing of time."""
        while not self.stopped:
            gevent.sleep(TICK_S)
            self.emit(events.Ticked())

    def change_entitlements(self) -> None:
        """Puts newly accepted lists in force."""
        self.emit(
            events.EntitlementsChanged(entitlements=self.get_entitlements())
        )

    def follow_instances(self) -> None:
        """Links to the listed workers of this shard."""
        while not self.stopped:
            listed = instances.get_workers(self.client)
            for worker in listed.value_or(()):
                home = assignment.shard_of_worker(
                    worker.worker_id, self.settings.shards
                )
                if home == self.shard:
                    self.link_worker(worker)
            gevent.sleep(INSTANCES_S)

    def link_worker(self, worker) -> None:
        """Opens a link to a worker, or takes in its new description."""
        known = self.links.get(worker.worker_id)
        if known is not None:
            if known.worker != worker:
                known.worker = worker
                known.reachable = False
            return
        opened = link.WorkerLink(
            worker=worker,
            owner=self.settings.name,
            term=self.journal.term,
            grant_ms=self.settings.grant_ms,
            task_lease_ms=self.settings.task_lease_ms,
            sync_ms=self.settings.sync_ms,
            emit=self.emit,
            on_stale=lambda term: self.on_lost(self.shard),
        )
        self.links[worker.worker_id] = opened
        opened.start()

    def take_envelope(self, envelope: messages.Envelope) -> None:
        """Queues the messages of one entry."""
        sender = envelope.sender
        for submission in envelope.submissions:
            self.inbox.put((self.take_submission, (sender, submission.job)))
        for query in envelope.queries:
            self.inbox.put((self.take_query, (sender, query)))
        for cancellation in envelope.cancellations:
            self.inbox.put((self.take_cancellation, (sender, cancellation)))
        for outcome in envelope.outcomes:
            self.inbox.put((self.take_outcome, outcome))

    def take_submission(self, argument) -> None:
        """Accepts, refuses or recognizes a job."""
        sender, message = argument
        job = messages.unpack_job(message)
        self.watchers.setdefault(job.job_id, set()).add(sender)
        known = self.state.jobs.get(job.job_id)
        if known is not None or job.job_id in self.finished:
            self.tell_known(sender, job)
            return
        if job.job_id in self.accepting:
            return
        admitted = admission.admit(self.state, job)
        if isinstance(admitted, result.Failure):
            self.refuse(job, admitted.failure())
            return
        if job.kind is jobs.Kind.REQUEST and job.idempotent:
            self.apply(events.JobSubmitted(job=job, entry=sender))
            return
        self.accepting.add(job.job_id)
        self.journal.append(
            records.JobAccepted(job=job),
            lambda kept: self.inbox.put(
                (self.finish_accept, (sender, job, kept))
            ),
        )

    def finish_accept(self, argument) -> None:
        """Queues a job whose acceptance is journaled."""
        sender, job, kept = argument
        self.accepting.discard(job.job_id)
        if not kept:
            return
        self.tell(
            job.job_id,
            messages.Notice(
                job_id=job.job_id,
                state=str(jobs.JobState.ACCEPTED),
                ran=str(jobs.Ran.NOT_RUN),
                tasks=job.tasks,
            ),
        )
        self.apply(events.JobSubmitted(job=job, entry=sender))

    def refuse(self, job: jobs.Job, refusal: admission.Refusal) -> None:
        """Answers a job that was not accepted."""
        notice = messages.Notice(
            job_id=job.job_id,
            state=str(jobs.JobState.REFUSED),
            ran=str(jobs.Ran.NOT_RUN),
            reason=refusal.reason,
            detail=refusal.detail,
        )
        self.tell(job.job_id, notice)

    def tell_known(self, sender: str, job: jobs.Job) -> None:
        """Answers a repeated submission."""
        known = self.state.jobs.get(job.job_id)
        if known is not None and known.job.digest != job.digest:
            self.send(
                sender,
                "notices",
                messages.Notice(
                    job_id=job.job_id,
                    state=str(jobs.JobState.REFUSED),
                    ran=str(jobs.Ran.NOT_RUN),
                    reason="request_id_reused",
                    detail="This request id was used with another body.",
                ),
            )
            return
        self.send(sender, "notices", self.describe(job.job_id))

    def take_query(self, argument) -> None:
        """Answers with a job's state, and tells of later changes."""
        sender, query = argument
        self.watchers.setdefault(query.job_id, set()).add(sender)
        self.send(sender, "notices", self.describe(query.job_id))

    def take_cancellation(self, argument) -> None:
        """Cancels a job or a wave."""
        sender, message = argument
        if message.wave:
            self.apply(
                events.WaveCancelled(
                    workspace=message.workspace, wave=message.wave
                )
            )
            return
        self.watchers.setdefault(message.job_id, set()).add(sender)
        record = self.state.jobs.get(message.job_id)
        if record is not None and record.job.workspace == message.workspace:
            self.apply(events.JobCancelled(job_id=message.job_id))
        self.send(sender, "notices", self.describe(message.job_id))

    def take_outcome(self, message: messages.Outcome) -> None:
        """Takes in the end of a dispatched request."""
        self.apply(
            events.TaskEnded(
                key=jobs.TaskKey(
                    job_id=message.job_id, index=0, attempt=message.attempt
                ),
                worker_id=message.worker_id,
                result=jobs.TaskResult(message.result),
                run_ms=message.run_ms,
                status=message.status,
                answer=message.answer,
                reason=message.reason,
            )
        )

    def describe(self, job_id: str) -> messages.Notice:
        """Returns what is known of a job."""
        record = self.state.jobs.get(job_id)
        if record is not None:
            return describe_record(record)
        finished = self.finished.get(job_id)
        if finished is not None:
            return describe_finished(finished)
        return messages.Notice(
            job_id=job_id,
            state=str(jobs.JobState.UNKNOWN),
            ran=str(jobs.Ran.UNKNOWN),
            reason="not_found",
            detail="This shard knows no such job.",
        )

    def tell(self, job_id: str, notice: messages.Notice) -> None:
        """Sends a notice to the entries that wait for a job."""
        for name in self.watchers.get(job_id, ()):
            self.send(name, "notices", notice)


def now_ms() -> int:
    """Returns the monotonic time in ms."""
    return int(time.monotonic() * 1000)


def describe_record(record: state.JobRecord) -> messages.Notice:
    """Returns the notice for a job that the reducer holds."""
    return messages.Notice(
        job_id=record.job.job_id,
        state=str(record.state),
        ran=str(record.ran),
        tasks=record.job.tasks,
        tasks_running=len(record.running),
        tasks_done=len(record.done),
        tasks_failed=len(record.failed),
        workers=sorted(
            {attempt.worker_id for attempt in record.running.values()}
        ),
    )


def describe_finished(finished: records.JobFinished) -> messages.Notice:
    """Returns the notice for a finished job."""
    return messages.Notice(
        job_id=finished.job_id,
        state=str(finished.state),
        ran=str(finished.ran),
        reason=finished.reason,
        detail=finished.detail,
        status=finished.status,
        answer=finished.answer.encode(),
    )


@carriers.register(effects.StartTask)
def start_task(owner: ShardOwner, effect: effects.StartTask) -> None:
    """Sends a start, after its intent is kept where that is needed."""
    if effect.job.idempotent:
        send_start(owner, effect)
        return
    owner.journal.append(
        records.IntentRecorded(key=effect.key, worker_id=effect.worker_id),
        lambda kept: (
            owner.inbox.put((lambda e: send_start(owner, e), effect))
            if kept
            else None
        ),
    )


def send_start(owner: ShardOwner, effect: effects.StartTask) -> None:
    """Hands a start to the worker's link."""
    owner.links[effect.worker_id].send(
        platform_workers.Operation(
            verb="start",
            key=effect.key,
            need=effect.need,
            command=effect.job.command,
            arguments=effect.job.arguments,
            workspace=effect.job.workspace,
            service=effect.job.kind is jobs.Kind.SERVICE,
        )
    )


@carriers.register(effects.DispatchRequest)
def dispatch_request(
    owner: ShardOwner, effect: effects.DispatchRequest
) -> None:
    """Sends a dispatch, after its intent is kept where that is needed."""
    if effect.job.idempotent:
        send_dispatch(owner, effect)
        return
    owner.journal.append(
        records.IntentRecorded(key=effect.key, worker_id=effect.worker_id),
        lambda kept: (
            owner.inbox.put((lambda e: send_dispatch(owner, e), effect))
            if kept
            else None
        ),
    )


def send_dispatch(owner: ShardOwner, effect: effects.DispatchRequest) -> None:
    """Tells the caller's entry where to send a request."""
    worker_link = owner.links[effect.worker_id]
    left_s = worker_link.granted_until - time.monotonic()
    owner.send(
        effect.entry,
        "dispatches",
        messages.Dispatch(
            job_id=effect.key.job_id,
            attempt=effect.key.attempt,
            worker_id=effect.worker_id,
            address=worker_link.worker.minion_address,
            term=owner.journal.term,
            valid_ms=max(0, int(left_s * 1000)),
        ),
    )


@carriers.register(effects.StopTask)
def stop_task(owner: ShardOwner, effect: effects.StopTask) -> None:
    """Sends a stop."""
    worker_link = owner.links.get(effect.worker_id)
    if worker_link is not None:
        worker_link.send(
            platform_workers.Operation(
                verb="stop", key=effect.key, reason=effect.reason
            )
        )


@carriers.register(effects.CheckpointTask)
def checkpoint_task(owner: ShardOwner, effect: effects.CheckpointTask) -> None:
    """Sends a checkpoint."""
    owner.links[effect.worker_id].send(
        platform_workers.Operation(verb="checkpoint", key=effect.key)
    )


@carriers.register(effects.ThrottleTask)
def throttle_task(owner: ShardOwner, effect: effects.ThrottleTask) -> None:
    """Sends a throttle."""
    owner.links[effect.worker_id].send(
        platform_workers.Operation(
            verb="throttle",
            key=effect.key,
            need=platform_workers.resources.Resources(
                cpu_millis=effect.cpu_millis
            ),
        )
    )


@carriers.register(effects.TaskSettled)
def settle_task(owner: ShardOwner, effect: effects.TaskSettled) -> None:
    """Journals a task's final result."""
    record = owner.state.jobs.get(effect.key.job_id)
    if record is None or is_unjournaled(record.job):
        return
    owner.journal.append(
        records.TaskSettled(key=effect.key, result=effect.result)
    )


@carriers.register(effects.JobChanged)
def change_job(owner: ShardOwner, effect: effects.JobChanged) -> None:
    """Journals a final state, then tells who waits."""
    record = owner.state.jobs.get(effect.job_id)
    if not effect.state.is_final or record is None:
        notify_change(owner, effect)
        return
    if is_unjournaled(record.job):
        notify_change(owner, effect)
        return
    finished = records.JobFinished(
        job_id=effect.job_id,
        state=effect.state,
        ran=effect.ran,
        reason=effect.reason,
        detail=effect.detail,
        status=effect.status,
        answer=effect.answer.decode(errors="replace"),
    )
    owner.journal.append(
        finished, lambda kept: notify_change(owner, effect) if kept else None
    )


def notify_change(owner: ShardOwner, effect: effects.JobChanged) -> None:
    """Tells the entries that wait for a job."""
    record = owner.state.jobs.get(effect.job_id)
    notice = (
        describe_record(record)
        if record is not None
        else messages.Notice(job_id=effect.job_id)
    )
    notice.state = str(effect.state)
    notice.ran = str(effect.ran)
    notice.reason = effect.reason
    notice.detail = effect.detail
    notice.status = effect.status
    notice.answer = effect.answer
    owner.tell(effect.job_id, notice)


def is_unjournaled(job: jobs.Job) -> bool:
    """Returns whether a job leaves no trace in the journal."""
    return job.kind is jobs.Kind.REQUEST and job.idempotent
