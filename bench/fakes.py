"""Fake workers in virtual time: they run tasks for their true run time."""

import dataclasses

from hickoryreach.structure import jobs
from hickoryreach.structure import resources
from hickoryreach.structure import workers
from hickoryreach.trial import workers as platform_workers

CHECKPOINT_MS = 300
STOP_MS = 50
FAIL_MS = 300
USAGE_LAG_MS = 3_000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Truth:
    """What a job's tasks really are.

    Attributes:
        need: Use of one task when nothing holds it back.
        run_ms: Run time of each task at that use; 0 until stopped.
    """

    need: resources.Resources
    run_ms: tuple[int, ...]


@dataclasses.dataclass(kw_only=True, slots=True)
class FakeTask:
    """An attempt on a fake worker.

    Attributes:
        job: Its job.
        truth: What it really needs.
        given: What was set aside for it; caps its processor use.
        left_ms: Run time left at full use, as of `since_ms`.
        since_ms: When `left_ms` was last brought up to date.
        started_ms: When it started.
        ends_ms: When it ends if nothing changes.
        result: How it is going to end.
        reason: Cause of a failure.
    """

    job: jobs.Job
    truth: Truth
    given: resources.Resources
    left_ms: float
    since_ms: float
    started_ms: float
    ends_ms: float = 0.0
    result: jobs.TaskResult = jobs.TaskResult.SUCCEEDED
    reason: str = ""

    @property
    def rate(self) -> float:
        """Progress per ms under the processor cap, 0 to 1."""
        wanted = self.truth.need.cpu_millis
        if not wanted:
            return 1.0
        return min(1.0, self.given.cpu_millis / wanted)

    @property
    def used(self) -> resources.Resources:
        """What it really uses under the processor cap."""
        need = self.truth.need
        return dataclasses.replace(
            need, cpu_millis=min(need.cpu_millis, self.given.cpu_millis)
        )


class FakeWorker:
    """One worker: refuses what does not fit, ends tasks when due.

    Memory is shared: tasks may outgrow what they were given until the worker
    is full; then the task furthest above its part is stopped.

    Attributes:
        worker: Its description.
        tasks: Running attempts.
        ended: Ends that no sync has carried yet.
        free: Capacity not given to a task.
        failing: Whether it fails everything it starts.
        lost: Whether it is gone.
        progress: Run time saved by checkpoints, shared by all workers.
    """

    def __init__(
        self,
        *,
        worker: workers.Worker,
        progress: dict[tuple[str, int], float],
    ) -> None:
        """Creates an idle worker."""
        self.worker = worker
        self.tasks: dict[jobs.TaskKey, FakeTask] = {}
        self.ended: list[platform_workers.TaskEnd] = []
        self.free = worker.capacity
        self.failing = False
        self.lost = False
        self.progress = progress

    def start(
        self,
        key: jobs.TaskKey,
        job: jobs.Job,
        given: resources.Resources,
        truth: Truth,
        now_ms: float,
    ) -> FakeTask | None:
        """Starts an attempt; None when it does not fit and is refused."""
        if not given.fits_in(self.free):
            return None
        self.free = self.free - given
        done_ms = self.progress.get((key.job_id, key.index), 0.0)
        task = FakeTask(
            job=job,
            truth=truth,
            given=given,
            left_ms=truth.run_ms[key.index] - done_ms,
            since_ms=now_ms,
            started_ms=now_ms,
        )
        self.tasks[key] = task
        if self.failing:
            task.result = jobs.TaskResult.FAILED
            task.reason = "exit status 1"
            task.ends_ms = now_ms + FAIL_MS
        else:
            self._schedule(task, now_ms)
        return task

    def relieve(self, now_ms: float) -> list[platform_workers.TaskEnd]:
        """Stops the tasks that outgrew a full memory; returns their ends."""
        stopped = []
        while self._memory_over() > 0:
            key = max(self.tasks, key=self._memory_excess)
            self.tasks[key].reason = "memory"
            self._end_soon(key, jobs.TaskResult.STOPPED, now_ms, 0)
            stopped.append(self.finish(key, now_ms))
        return stopped

    def stop(self, key: jobs.TaskKey, reason: str, now_ms: float) -> None:
        """Stops an attempt after STOP_MS."""
        if key in self.tasks:
            self.tasks[key].reason = reason
            self._end_soon(key, jobs.TaskResult.STOPPED, now_ms, STOP_MS)

    def checkpoint(self, key: jobs.TaskKey, now_ms: float) -> None:
        """Saves an attempt's progress and stops it after CHECKPOINT_MS."""
        if key not in self.tasks:
            return
        self._advance(self.tasks[key], now_ms)
        self._end_soon(key, jobs.TaskResult.CHECKPOINTED, now_ms, CHECKPOINT_MS)

    def throttle(
        self, key: jobs.TaskKey, cpu_millis: int, now_ms: float
    ) -> None:
        """Sets an attempt's processor cap."""
        task = self.tasks.get(key)
        if task is None:
            return
        self._advance(task, now_ms)
        given = dataclasses.replace(task.given, cpu_millis=cpu_millis)
        self.free = self.free + task.given - given
        task.given = given
        if task.result is jobs.TaskResult.SUCCEEDED:
            self._schedule(task, now_ms)

    def finish(
        self, key: jobs.TaskKey, now_ms: float
    ) -> platform_workers.TaskEnd | None:
        """Ends an attempt that is due; None when it is not."""
        task = self.tasks.get(key)
        if task is None or not task.ends_ms or task.ends_ms > now_ms + 1e-6:
            return None
        del self.tasks[key]
        self.free = self.free + task.given
        if task.result is jobs.TaskResult.CHECKPOINTED:
            total = task.truth.run_ms[key.index]
            self.progress[(key.job_id, key.index)] = total - task.left_ms
        return platform_workers.TaskEnd(
            key=key,
            result=task.result,
            used=task.used,
            run_ms=int(now_ms - task.started_ms),
            reason=task.reason,
        )

    def list_running(
        self, now_ms: float
    ) -> tuple[platform_workers.TaskRow, ...]:
        """Returns what runs; use shows only after USAGE_LAG_MS."""
        return tuple(
            platform_workers.TaskRow(
                key=key,
                need=task.given,
                used=task.used
                if now_ms - task.started_ms > USAGE_LAG_MS
                else resources.ZERO,
            )
            for key, task in self.tasks.items()
            if task.job.kind is not jobs.Kind.REQUEST
        )

    def _memory_over(self) -> int:
        used = sum(task.truth.need.memory_mb for task in self.tasks.values())
        return used - self.worker.capacity.memory_mb

    def _memory_excess(self, key: jobs.TaskKey) -> int:
        task = self.tasks[key]
        return task.truth.need.memory_mb - task.given.memory_mb

    def _advance(self, task: FakeTask, now_ms: float) -> None:
        task.left_ms -= (now_ms - task.since_ms) * task.rate
        task.since_ms = now_ms

    def _schedule(self, task: FakeTask, now_ms: float) -> None:
        if not any(task.truth.run_ms):
            return
        task.ends_ms = now_ms + max(1.0, task.left_ms) / max(0.01, task.rate)

    def _end_soon(
        self,
        key: jobs.TaskKey,
        outcome: jobs.TaskResult,
        now_ms: float,
        delay_ms: float,
    ) -> None:
        task = self.tasks[key]
        if task.ends_ms and task.ends_ms <= now_ms + delay_ms:
            return
        task.result = outcome
        task.ends_ms = now_ms + delay_ms
