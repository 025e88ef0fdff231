"""One owner around the reducer: commands to workers, and a journal."""

import collections
from collections.abc import Iterable
import dataclasses

from returns import pipeline

from hickoryreach.decisions import admission
from hickoryreach.decisions import effects
from hickoryreach.decisions import events
from hickoryreach.decisions import reducer
from hickoryreach.decisions import state
from hickoryreach.structure import jobs
from hickoryreach.structure import resources
from hickoryreach.structure import workspaces
from tests.core.fuzz import fakes
from tests.core.fuzz import oracle as oracles

ATTEMPTS_PER_TERM = 1_000
HOLD_FOREVER_MS = 10**12


@dataclasses.dataclass(kw_only=True)
class Kept:
    """What the store keeps of one job.

    Attributes:
        job: The job.
        done: Indexes that succeeded.
        failed: Indexes that failed for good.
        intents: Attempts that were about to start and may run once.
        final: Its final state was kept.
    """

    job: jobs.Job
    done: set[int] = dataclasses.field(default_factory=set)
    failed: set[int] = dataclasses.field(default_factory=set)
    intents: dict[int, jobs.TaskKey] = dataclasses.field(default_factory=dict)
    final: bool = False


@dataclasses.dataclass(kw_only=True)
class Link:
    """An owner's end of one worker.

    Attributes:
        grant: Number of the grant it holds, or None before it joined.
        commands: Effects to send, repeated until answered.
        limits: Limit in force when each was decided.
        acknowledged: Ends to acknowledge.
        known: Attempts whose start was reported.
        listed: An earlier list, for late reports.
    """

    grant: int | None = None
    commands: list[effects.Effect] = dataclasses.field(default_factory=list)
    limits: list[resources.Resources | None] = dataclasses.field(
        default_factory=list
    )
    acknowledged: list[jobs.TaskKey] = dataclasses.field(default_factory=list)
    known: set[jobs.TaskKey] = dataclasses.field(default_factory=set)
    listed: tuple = ()


class Owner:
    """Feeds events to the reducer and carries out its effects.

    Attributes:
        term: Its term.
        oracle: Record of the truth.
        journal: What the store keeps, shared by all owners.
        broken: Names of protections that are taken out.
        shard: The reducer's state.
        links: Its end of each worker.
        dispatches: Requests on their way to a minion.
        heard: Events that may be repeated.
        begun: Gangs of which tasks were started or restored.
    """

    def __init__(
        self,
        *,
        term: int,
        oracle: oracles.Oracle,
        journal: dict[str, Kept],
        worker_ids: Iterable[str],
        now_ms: int,
        broken: frozenset[str],
    ) -> None:
        """Creates an owner that knows nothing yet."""
        self.term = term
        self.oracle = oracle
        self.journal = journal
        self.broken = broken
        self.now_ms = now_ms
        self.shard = state.ShardState(term=term)
        self.links = {worker_id: Link() for worker_id in worker_ids}
        self.dispatches: list[effects.DispatchRequest] = []
        self.heard: list[events.Event] = []
        self.begun: set[str] = set()

    def entitle(self) -> None:
        """Puts the limits now in force into the shard."""
        self.take(
            events.EntitlementsChanged(
                entitlements=tuple(
                    workspaces.Entitlement(
                        workspace=name,
                        limit=None if "limit" in self.broken else limit,
                    )
                    for name, limit in self.oracle.limits.items()
                )
            )
        )

    def restore(self) -> None:
        """Takes over every job that the store keeps as open."""
        for kept in self.journal.values():
            if kept.final:
                continue
            self.begun.add(kept.job.job_id)
            settled = kept.done | kept.failed
            self.take(
                events.JobRestored(
                    job=self._seen_by_reducer(kept.job),
                    done=tuple(sorted(kept.done)),
                    failed=tuple(sorted(kept.failed)),
                    unclear=tuple(
                        key
                        for index, key in sorted(kept.intents.items())
                        if index not in settled
                    ),
                    attempts=tuple(
                        (index, key.attempt)
                        for index, key in sorted(kept.intents.items())
                    ),
                    hold_until_ms=HOLD_FOREVER_MS,
                )
            )

    def submit(self, job: jobs.Job) -> bool:
        """Accepts a job: journals it where it must last, then queues it."""
        seen = self._seen_by_reducer(job)
        if not pipeline.is_successful(admission.admit(self.shard, seen)):
            return False
        self.oracle.accepted[job.job_id] = job
        if job.kind is not jobs.Kind.REQUEST or not job.idempotent:
            self.journal[job.job_id] = Kept(job=job)
        self.take(events.JobSubmitted(job=seen, entry="e1"))
        return True

    def take(self, event: events.Event, carried: int | None = None) -> None:
        """Reduces an event; carries out the first `carried` effects."""
        if isinstance(event, events.TaskStarted | events.TaskEnded):
            self.heard.append(event)
        out = reducer.reduce(self.shard, event, self.now_ms)
        self._check_gangs(out)
        for effect in out[:carried]:
            self._carry(effect)

    def join(self, fake: fakes.FakeWorker) -> None:
        """Takes the worker's grant and learns what it runs."""
        link = self.links[fake.worker.worker_id]
        reply = fake.join(self.term)
        link.grant = fake.grant
        worker = fake.worker
        if "size" in self.broken:
            worker = dataclasses.replace(
                worker, capacity=worker.capacity.times(2)
            )
        self.take(events.WorkerJoined(worker=worker, running=reply.running))
        self.learn(fake.worker.worker_id, reply)

    def message(self, worker_id: str) -> fakes.Sync:
        """Returns the next message to a worker."""
        link = self.links[worker_id]
        return fakes.Sync(
            term=self.term,
            grant=-1 if link.grant is None else link.grant,
            commands=tuple(link.commands),
            limits=tuple(link.limits),
            acknowledged=tuple(link.acknowledged),
        )

    def answered(self, worker_id: str, sent: fakes.Sync) -> None:
        """Drops what a worker has carried out."""
        link = self.links[worker_id]
        del link.commands[: len(sent.commands)]
        del link.limits[: len(sent.commands)]
        link.acknowledged.clear()

    def learn(self, worker_id: str, reply: fakes.Reply) -> None:
        """Takes in a worker's answer."""
        link = self.links[worker_id]
        for task in reply.running:
            if task.key not in link.known:
                link.known.add(task.key)
                self.take(events.TaskStarted(key=task.key, worker_id=worker_id))
        for key, outcome, used in reply.ended:
            self.take(
                events.TaskEnded(
                    key=key,
                    worker_id=worker_id,
                    result=outcome,
                    used=used,
                    run_ms=100,
                )
            )
            link.acknowledged.append(key)
        self.take(
            events.WorkerReported(worker_id=worker_id, running=reply.running)
        )
        link.listed = reply.running

    def forget(self, worker_id: str) -> None:
        """Tells the reducer that a worker's leases have lapsed."""
        self.links[worker_id] = Link()
        self.dispatches = [
            effect
            for effect in self.dispatches
            if effect.worker_id != worker_id
        ]
        self.take(events.WorkerLost(worker_id=worker_id))

    def _seen_by_reducer(self, job: jobs.Job) -> jobs.Job:
        if "idempotent" in self.broken:
            return dataclasses.replace(job, idempotent=True)
        return job

    def _check_gangs(self, out: list[effects.Effect]) -> None:
        starts = collections.Counter(
            effect.key.job_id
            for effect in out
            if isinstance(effect, effects.StartTask)
            and effect.job.kind is jobs.Kind.GANG
        )
        for job_id, count in starts.items():
            first = job_id not in self.begun
            if first and count != self.oracle.accepted[job_id].tasks:
                raise self.oracle.fail(f"gang {job_id} starts in part")
        self.begun.update(starts)

    def _carry(self, effect: effects.Effect) -> None:
        match effect:
            case effects.StartTask():
                self._intend(effect)
                self.oracle.decide(effect.job, effect.need)
                self._command(effect)
            case effects.DispatchRequest():
                self._intend(effect)
                self.oracle.decide(effect.job, effect.job.need)
                self.dispatches.append(effect)
            case effects.TaskSettled():
                self._settle(effect)
            case effects.JobChanged() if effect.state.is_final:
                if "answer" not in self.broken:
                    self._tell(effect)
            case effects.JobChanged():
                pass
            case _ if self._is_request(effect.key.job_id):
                pass
            case _:
                self._command(effect)

    def _is_request(self, job_id: str) -> bool:
        return self.oracle.accepted[job_id].kind is jobs.Kind.REQUEST

    def _command(self, effect: effects.Effect) -> None:
        link = self.links[effect.worker_id]
        key = effect.key
        workspace = self.oracle.accepted[key.job_id].workspace
        link.commands.append(effect)
        link.limits.append(self.oracle.limits[workspace])

    def _intend(
        self, effect: effects.StartTask | effects.DispatchRequest
    ) -> None:
        kept = self.journal.get(effect.key.job_id)
        if kept is None or kept.job.idempotent or "intent" in self.broken:
            return
        kept.intents[effect.key.index] = effect.key

    def _settle(self, effect: effects.TaskSettled) -> None:
        kept = self.journal.get(effect.key.job_id)
        if kept is None:
            return
        good = effect.result is jobs.TaskResult.SUCCEEDED
        (kept.done if good else kept.failed).add(effect.key.index)

    def _tell(self, effect: effects.JobChanged) -> None:
        ran = effect.ran
        if "not_run" in self.broken:
            ran = jobs.ExecutionStatus.NOT_RUN
        self.oracle.tell(effect.job_id, effect.state, ran)
        if effect.job_id in self.journal:
            self.journal[effect.job_id].final = True
