"""Drives a policy through a load in virtual time.

The owner's side is reduced to what costs or delays a decision: messages take
their one-way delay, workers are synced at an interval and whenever a command
waits, records that must last wait for the next group commit.
"""

from collections.abc import Callable
import dataclasses
import heapq
import itertools
import time

import orjson

from bench import cells
from bench import fakes
from bench import loads
from bench import policies
from bench import recorder as recorders
from hickoryreach.decisions import effects
from hickoryreach.decisions import events
from hickoryreach.decisions import registry
from hickoryreach.structure import jobs
from hickoryreach.structure import resources
from hickoryreach.structure import workers
from hickoryreach.trial import workers as platform_workers

TICK_MS = 50
COMMIT_MS = 50
STORE_MS = 5.0
COALESCE_MS = 5.0
SAMPLE_MS = 500
WAITS_FOR_ROOM_MS = 500
UNREACHABLE_MS = 2_500
LOST_MS = 12_000
GRANT_MS = 5_000
TASK_LEASE_MS = 10_000
WRITE_LIMIT_BYTES = 500_000
OWNER = "e1"
BOOT_ID = "4b7f0c1d2e3a4f50"

carriers: registry.Registry[type, Callable] = registry.Registry(
    title="effect carriers"
)


@dataclasses.dataclass(kw_only=True, slots=True)
class Progress:
    """A job as the driver sees it.

    Attributes:
        submission: The job and its truth.
        truth: Its truth as the fakes take it.
        accepted_ms: When it was submitted.
        placed: Attempts placed and not ended yet.
        settled: Indexes with a final result.
        begun: Indexes that started once.
    """

    submission: loads.Submission
    truth: fakes.Truth
    accepted_ms: float
    placed: set[jobs.TaskKey] = dataclasses.field(default_factory=set)
    settled: set[int] = dataclasses.field(default_factory=set)
    begun: set[int] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(kw_only=True, slots=True)
class Link:
    """The owner's end of one worker.

    Attributes:
        worker: The fake worker.
        operations: Commands that wait for the next sync.
        acknowledged: Ends to acknowledge with it.
        sync_at_ms: When the next sync is due.
    """

    worker: fakes.FakeWorker
    operations: list[platform_workers.Operation] = dataclasses.field(
        default_factory=list
    )
    acknowledged: list[jobs.TaskKey] = dataclasses.field(default_factory=list)
    sync_at_ms: float = 0.0


class Driver:
    """One run of one policy under one load.

    Attributes:
        cell: The cell.
        load: What happens to it.
        policy: What decides.
        recorder: What is measured.
        now_ms: Virtual time.
        open_jobs: Jobs without a final state, services left out.
        progress: Every job that arrived.
        links: The owner's end of each worker.
        journal: Records that wait for the next group commit.
    """

    def __init__(
        self, *, cell: cells.Cell, load: loads.Load, policy: policies.Policy
    ) -> None:
        """Creates a run at virtual time 0."""
        self.cell = cell
        self.load = load
        self.policy = policy
        self.recorder = recorders.Recorder(cell=cell)
        self.now_ms = 0.0
        self.heap: list[tuple[float, int, Callable, tuple]] = []
        self.order = itertools.count()
        self.progress: dict[str, Progress] = {}
        self.open_jobs: set[str] = set()
        self.cancelled: set[str] = set()
        saved: dict[tuple[str, int], float] = {}
        self.links = {
            worker.worker_id: Link(
                worker=fakes.FakeWorker(worker=worker, progress=saved)
            )
            for worker in cell.workers
        }
        self.journal: list[tuple[int, Callable, tuple]] = []
        self.commit_due = False

    def run(self) -> None:
        """Runs until the work is done or the drain time is over."""
        self._begin()
        last_ms = self.load.end_ms + self.load.drain_ms
        while self.heap:
            at_ms, _, call, args = heapq.heappop(self.heap)
            if at_ms > last_ms:
                break
            self.now_ms = at_ms
            call(*args)
            if at_ms > self.load.end_ms and not self.open_jobs:
                break
        self._close()

    def _begin(self) -> None:
        self._decide(
            events.EntitlementsChanged(entitlements=self.cell.entitlements)
        )
        for link in self.links.values():
            self._decide(events.WorkerJoined(worker=link.worker.worker))
        for number, worker_id in enumerate(self.links):
            offset = number * self.cell.sync_ms / len(self.links)
            self._schedule_sync(worker_id, offset)
        for submission in self.load.submissions:
            self._at(submission.at_ms, self._arrive, submission)
        for cancel in self.load.cancellations:
            self._at(cancel.at_ms, self._cancel, cancel)
        for fault in self.load.faults:
            self._at(fault.from_ms, self._break, fault)
            self._at(fault.to_ms, self._mend, fault)
        self._at(TICK_MS, self._tick)
        self._at(SAMPLE_MS, self._sample)

    def _at(self, at_ms: float, call: Callable, *args: object) -> None:
        heapq.heappush(self.heap, (at_ms, next(self.order), call, args))

    def after(self, delay_ms: float, call: Callable, *args: object) -> None:
        """Calls something after a virtual delay."""
        self._at(self.now_ms + delay_ms, call, *args)

    def _decide(self, event: events.Event) -> None:
        before_ns = time.perf_counter_ns()
        out = self.policy.reduce(event, int(self.now_ms))
        took_ns = time.perf_counter_ns() - before_ns
        if self.now_ms >= self.load.warm_ms:
            starts = sum(
                isinstance(effect, effects.StartTask | effects.DispatchRequest)
                for effect in out
            )
            self.recorder.decide(took_ns, starts)
        for effect in out:
            carriers.find(type(effect))(self, effect)

    def _tick(self) -> None:
        self._decide(events.Ticked())
        self.after(TICK_MS, self._tick)

    def _arrive(self, submission: loads.Submission) -> None:
        self.after(self.cell.one_way_ms, self._accept, submission)

    def _accept(self, submission: loads.Submission) -> None:
        job = submission.job
        if not self.policy.admit(job):
            self.recorder.counts["refused_jobs"] += 1
            return
        self.progress[job.job_id] = Progress(
            submission=submission,
            truth=fakes.Truth(
                need=submission.true_need, run_ms=submission.run_ms
            ),
            accepted_ms=submission.at_ms,
        )
        if job.kind is not jobs.Kind.SERVICE:
            self.open_jobs.add(job.job_id)
        event = events.JobSubmitted(job=job, entry=OWNER)
        if job.kind is jobs.Kind.REQUEST and job.idempotent:
            self._decide(event)
        else:
            self.append(job, self._decide, event)

    def _cancel(self, cancel: loads.Cancellation) -> None:
        if cancel.wave:
            event = events.WaveCancelled(
                workspace=cancel.workspace, wave=cancel.wave
            )
        else:
            event = events.JobCancelled(job_id=cancel.job_id)
        self.after(self.cell.one_way_ms, self._decide, event)

    def append(self, record: object, call: Callable, *args: object) -> None:
        """Calls something once a record is in the store."""
        size = len(orjson.dumps(record, default=str))
        self.journal.append((size, call, args))
        if not self.commit_due:
            self.commit_due = True
            self.after(COMMIT_MS, self._commit)

    def _commit(self) -> None:
        self.commit_due = False
        records, self.journal = self.journal, []
        size = sum(record[0] for record in records)
        writes = 1 + size // WRITE_LIMIT_BYTES
        self.recorder.writes[int(self.now_ms // 1000)] += writes
        for _, call, args in records:
            self.after(STORE_MS, call, *args)

    def command(
        self, worker_id: str, operation: platform_workers.Operation
    ) -> None:
        """Sends a command with the next sync, which it brings forward."""
        link = self.links[worker_id]
        link.operations.append(operation)
        due_ms = self.now_ms + COALESCE_MS
        if link.sync_at_ms > due_ms:
            self._schedule_sync(worker_id, COALESCE_MS)

    def _schedule_sync(self, worker_id: str, delay_ms: float) -> None:
        at_ms = self.now_ms + delay_ms
        self.links[worker_id].sync_at_ms = at_ms
        self._at(at_ms, self._sync, worker_id, at_ms)

    def _sync(self, worker_id: str, due_ms: float) -> None:
        link = self.links[worker_id]
        if link.sync_at_ms != due_ms:
            return
        request = platform_workers.SyncRequest(
            owner=OWNER,
            term=1,
            boot_id=BOOT_ID,
            deadline_ms=int(self.now_ms) + GRANT_MS,
            grant_ms=GRANT_MS,
            task_lease_ms=TASK_LEASE_MS,
            operations=tuple(link.operations),
            acknowledged=tuple(link.acknowledged),
        )
        link.operations.clear()
        link.acknowledged.clear()
        self._schedule_sync(worker_id, self.cell.sync_ms)
        self._count_bytes(request)
        self.after(self.cell.one_way_ms, self._serve, worker_id, request)

    def _serve(
        self, worker_id: str, request: platform_workers.SyncRequest
    ) -> None:
        worker = self.links[worker_id].worker
        if worker.lost:
            return
        started = [
            operation.key
            for operation in request.operations
            if self._execute(worker, operation)
        ]
        reply = platform_workers.SyncReply(
            term=request.term,
            boot_id=BOOT_ID,
            clock_ms=int(self.now_ms),
            running=worker.list_running(self.now_ms),
            ended=tuple(worker.ended),
        )
        worker.ended.clear()
        self._count_bytes(reply)
        self.after(self.cell.one_way_ms, self._learn, worker_id, started, reply)

    def _learn(
        self,
        worker_id: str,
        started: list[jobs.TaskKey],
        reply: platform_workers.SyncReply,
    ) -> None:
        for key in started:
            self._decide(events.TaskStarted(key=key, worker_id=worker_id))
        for end in reply.ended:
            self.links[worker_id].acknowledged.append(end.key)
            self._end(worker_id, end)
        self._decide(
            events.WorkerReported(
                worker_id=worker_id,
                running=tuple(
                    workers.RunningTask(
                        key=row.key, used=row.used, allocated=row.need
                    )
                    for row in reply.running
                ),
            )
        )

    def _end(self, worker_id: str, end: platform_workers.TaskEnd) -> None:
        self.progress[end.key.job_id].placed.discard(end.key)
        self._decide(
            events.TaskEnded(
                key=end.key,
                worker_id=worker_id,
                result=end.result,
                used=end.used,
                run_ms=end.run_ms,
                reason=end.reason,
            )
        )

    def _execute(
        self,
        worker: fakes.FakeWorker,
        operation: platform_workers.Operation,
    ) -> bool:
        key = operation.key
        if operation.verb == "stop":
            worker.stop(key, operation.reason, self.now_ms)
        elif operation.verb == "checkpoint":
            worker.checkpoint(key, self.now_ms)
        elif operation.verb == "throttle":
            worker.throttle(key, operation.need.cpu_millis, self.now_ms)
        else:
            return self._start(worker, key, operation.need)
        self._await_end(worker, key)
        return False

    def _start(
        self,
        worker: fakes.FakeWorker,
        key: jobs.TaskKey,
        given: resources.Resources,
    ) -> bool:
        progress = self.progress[key.job_id]
        job = progress.submission.job
        task = worker.start(key, job, given, progress.truth, self.now_ms)
        if task is None:
            self.recorder.counts["refused_starts"] += 1
            self._deliver_end(
                worker,
                job,
                platform_workers.TaskEnd(
                    key=key, result=jobs.TaskResult.NOT_RUN, reason="full"
                ),
            )
            return False
        if key.index not in progress.begun:
            progress.begun.add(key.index)
            if self.now_ms >= self.load.warm_ms:
                self.recorder.wait(job, self.now_ms - progress.accepted_ms)
        self._await_end(worker, key)
        for end in worker.relieve(self.now_ms):
            self.recorder.counts["memory_stops"] += 1
            self._deliver_end(worker, job, end)
        return key in worker.tasks

    def _await_end(self, worker: fakes.FakeWorker, key: jobs.TaskKey) -> None:
        task = worker.tasks.get(key)
        if task is not None and task.ends_ms:
            self._at(task.ends_ms, self._finish, worker, key)

    def _finish(self, worker: fakes.FakeWorker, key: jobs.TaskKey) -> None:
        end = worker.finish(key, self.now_ms)
        if end is not None:
            job = self.progress[key.job_id].submission.job
            self._deliver_end(worker, job, end)

    def _deliver_end(
        self,
        worker: fakes.FakeWorker,
        job: jobs.Job,
        end: platform_workers.TaskEnd,
    ) -> None:
        if job.kind is not jobs.Kind.REQUEST:
            worker.ended.append(end)
            return
        self.after(
            2 * self.cell.one_way_ms, self._end, worker.worker.worker_id, end
        )

    def dispatch(self, effect: effects.DispatchRequest) -> None:
        """Starts a request on its minion."""
        worker = self.links[effect.worker_id].worker
        if worker.lost:
            end = platform_workers.TaskEnd(
                key=effect.key,
                result=jobs.TaskResult.NOT_RUN,
                reason="connection refused",
            )
            self._deliver_end(worker, effect.job, end)
            return
        self._start(worker, effect.key, effect.job.need)

    def _break(self, fault: loads.Fault) -> None:
        for worker_id in fault.worker_ids:
            worker = self.links[worker_id].worker
            if not fault.lost:
                worker.failing = True
                continue
            worker.lost = True
            self._drop_requests(worker)
            worker.tasks.clear()
            worker.ended.clear()
            worker.free = worker.worker.capacity
            self.after(
                UNREACHABLE_MS,
                self._decide,
                events.WorkerUnreachable(worker_id=worker_id),
            )
            self.after(
                LOST_MS, self._decide, events.WorkerLost(worker_id=worker_id)
            )

    def _drop_requests(self, worker: fakes.FakeWorker) -> None:
        for key, task in worker.tasks.items():
            end = platform_workers.TaskEnd(
                key=key, result=jobs.TaskResult.UNKNOWN, reason="cut off"
            )
            if task.job.kind is jobs.Kind.REQUEST:
                self._deliver_end(worker, task.job, end)

    def _mend(self, fault: loads.Fault) -> None:
        for worker_id in fault.worker_ids:
            worker = self.links[worker_id].worker
            worker.failing = False
            if fault.lost:
                worker.lost = False
                self._decide(events.WorkerJoined(worker=worker.worker))

    def _count_bytes(self, message: object) -> None:
        if self.now_ms >= self.load.warm_ms:
            self.recorder.control_bytes += len(orjson.dumps(message))

    def _sample(self) -> None:
        self.after(SAMPLE_MS, self._sample)
        if self.now_ms < self.load.warm_ms or self.now_ms > self.load.end_ms:
            return
        live = resources.ZERO
        used = resources.ZERO
        held: dict[str, resources.Resources] = {}
        for link in self.links.values():
            worker = link.worker
            if worker.lost or worker.failing:
                continue
            live = live + worker.worker.capacity
            for task in worker.tasks.values():
                name = task.job.workspace
                held[name] = held.get(name, resources.ZERO) + task.given
                used = used + task.used
        waiting, blocked = self._waiting(held)
        self.recorder.sample(self.now_ms, live, held, used, waiting, blocked)

    def _waiting(
        self, held: dict[str, resources.Resources]
    ) -> tuple[dict[str, resources.Resources], bool]:
        limits = {
            entry.workspace: entry.limit for entry in self.cell.entitlements
        }
        waiting: dict[str, resources.Resources] = {}
        blocked = False
        for job_id in self.open_jobs:
            progress = self.progress[job_id]
            job = progress.submission.job
            count = job.tasks - len(progress.placed) - len(progress.settled)
            if count <= 0 or job_id in self.cancelled:
                continue
            name = job.workspace
            known = waiting.get(name, resources.ZERO)
            waiting[name] = known + job.need.times(count)
            if self.now_ms - progress.accepted_ms < WAITS_FOR_ROOM_MS:
                continue
            wanted = held.get(name, resources.ZERO) + job.need
            limit = limits[name]
            blocked = blocked or limit is None or wanted.fits_in(limit)
        return waiting, blocked

    def _close(self) -> None:
        for job_id, progress in self.progress.items():
            job = progress.submission.job
            if job_id in self.cancelled or job.kind is jobs.Kind.SERVICE:
                continue
            if progress.accepted_ms < self.load.warm_ms:
                continue
            known = progress.begun | progress.settled
            for _ in range(job.tasks - len(known)):
                self.recorder.counts["never_started"] += 1
                self.recorder.wait(job, self.now_ms - progress.accepted_ms)


@carriers.register(effects.StartTask)
def carry_start(driver: Driver, effect: effects.StartTask) -> None:
    """Sends a start; the intent of one that may run once is kept first."""
    job = effect.job
    driver.progress[job.job_id].placed.add(effect.key)
    operation = platform_workers.Operation(
        verb="start",
        key=effect.key,
        need=effect.need,
        command=job.command,
        arguments=job.arguments,
        workspace=job.workspace,
        service=job.kind is jobs.Kind.SERVICE,
    )
    args = (effect.worker_id, operation)
    if job.idempotent:
        driver.command(*args)
    else:
        driver.append(effect.key, driver.command, *args)


@carriers.register(effects.DispatchRequest)
def carry_dispatch(driver: Driver, effect: effects.DispatchRequest) -> None:
    """Sends a request to its minion by way of the caller's entry."""
    driver.progress[effect.job.job_id].placed.add(effect.key)
    delay_ms = 2 * driver.cell.one_way_ms
    if effect.job.idempotent:
        driver.after(delay_ms, driver.dispatch, effect)
    else:
        driver.append(
            effect.key, driver.after, delay_ms, driver.dispatch, effect
        )


@carriers.register(effects.StopTask)
def carry_stop(driver: Driver, effect: effects.StopTask) -> None:
    """Sends a stop."""
    operation = platform_workers.Operation(
        verb="stop", key=effect.key, reason=effect.reason
    )
    driver.command(effect.worker_id, operation)


@carriers.register(effects.CheckpointTask)
def carry_checkpoint(driver: Driver, effect: effects.CheckpointTask) -> None:
    """Sends a checkpoint."""
    operation = platform_workers.Operation(verb="checkpoint", key=effect.key)
    driver.command(effect.worker_id, operation)


@carriers.register(effects.ThrottleTask)
def carry_throttle(driver: Driver, effect: effects.ThrottleTask) -> None:
    """Sends a new processor cap."""
    operation = platform_workers.Operation(
        verb="throttle",
        key=effect.key,
        need=resources.Resources(cpu_millis=effect.cpu_millis),
    )
    driver.command(effect.worker_id, operation)


@carriers.register(effects.TaskSettled)
def carry_settled(driver: Driver, effect: effects.TaskSettled) -> None:
    """Journals a task's result."""
    driver.progress[effect.key.job_id].settled.add(effect.key.index)
    good = effect.result is jobs.TaskResult.SUCCEEDED
    driver.recorder.counts["succeeded" if good else "failed"] += 1
    driver.append(effect, _nothing)


@carriers.register(effects.JobChanged)
def carry_changed(driver: Driver, effect: effects.JobChanged) -> None:
    """Journals a job's final state."""
    if not effect.state.is_final:
        return
    if effect.state is jobs.JobState.CANCELLED:
        driver.cancelled.add(effect.job_id)
    driver.open_jobs.discard(effect.job_id)
    driver.append(effect, _nothing)


def _nothing() -> None:
    """Follows a record nobody waits for."""
