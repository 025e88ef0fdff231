"""Judge of jobs that could run and don't, once all trouble has ended."""

from __future__ import annotations

from collections.abc import Iterator

from hickoryreach.platform import minions
from hickoryreach.scheduling import solitude
from hickoryreach.scheduling import state
from hickoryreach.scheduling import waits
from hickoryreach.structure import resources
from hickoryreach.structure import steps
from tests.core.scheduling.model import advice
from tests.core.scheduling.model import orders
from tests.core.scheduling.model import workers

FINISH_MS = 14_000
IDLE_MS = 3_000
LASTING_IDLE_MS = 6_000
LIMIT_MS = 45_000
EXCUSING_CRASHES = 2  # of minions under a task, after which it may be given up


class Judge:
    """Watches the jobs that are not over, from FINISH_MS on.

    A job is lost if for IDLE_MS on end nothing of it runs while a task's turn
    has come, there is capacity for it twice over, its workspace uses under half
    of its limit, and under half of the capacity is in use. It is lost too if it
    isn't over after LIMIT_MS.

    Attributes:
        faults: What must not have happened, one line each.
        slowest_ms: When the last job was over, from the end of all trouble.
    """

    def __init__(self, *, model) -> None:
        """Creates a judge that watches nothing yet."""
        self.model = model
        self.faults: list[str] = []
        self.slowest_ms = 0
        self.begun_ms = 0
        self.idle_since_ms: dict[str, int] = {}
        self.found: set[str] = set()

    def begin(self) -> None:
        """Notes that all trouble has ended."""
        self.begun_ms = self.model.now_ms

    def is_over(self) -> bool:
        """Returns whether each job is over and was watched for long enough."""
        age_ms = self.model.now_ms - self.begun_ms
        left = [
            job
            for job in self.list_unfinished()
            if not job.steps[0].lasting and job.job_id not in self.found
        ]
        if not left:
            return age_ms >= FINISH_MS + IDLE_MS + LASTING_IDLE_MS
        self.slowest_ms = age_ms
        if age_ms < LIMIT_MS:
            return False
        for job in left:
            if self.has_capacity(job):
                self.report(job, "isn't over")
        return True

    def has_capacity(self, job: steps.Job) -> bool:
        """Returns whether empty minions hold each step of a job twice over."""
        return all(
            self.count_slots(job, position, is_empty=True)
            >= 2 * (step.count if step.gang else 1)
            for position, step in enumerate(job.steps)
        )

    def check_given_up(self, job: steps.Job) -> None:
        """Checks that minions have crashed under a job that is given up."""
        most = max(
            (
                count
                for key, count in self.model.crashes.items()
                if key.job_id == job.job_id
            ),
            default=0,
        )
        if most < EXCUSING_CRASHES:
            self.report(job, f"was given up after {most} crashes")

    def list_unfinished(self) -> list[steps.Job]:
        """Returns the jobs that are not over."""
        return [
            job
            for job in self.model.jobs.values()
            if job.job_id not in self.model.finals
            and job.job_id not in self.model.cancelled
        ]

    def watch(self) -> None:
        """Looks at every job once."""
        now_ms = self.model.now_ms
        if now_ms < self.begun_ms + FINISH_MS:
            return
        present = orders.list_runs(self.model)
        idle = dict(self.list_idle({run.key for run in present}))
        known = self.idle_since_ms
        self.idle_since_ms = {name: known.get(name, now_ms) for name in idle}
        for name, (job, limit_ms) in idle.items():
            if now_ms - self.idle_since_ms[name] >= limit_ms:
                self.report(job, "could run and doesn't")

    def list_idle(
        self, present: set[steps.TaskKey]
    ) -> Iterator[tuple[str, tuple[steps.Job, int]]]:
        """Yields what could run and doesn't, and for how long it may."""
        working = {key.job_id for key in present}
        for job in self.list_unfinished():
            if job.job_id in self.found:
                continue
            if not job.steps[0].lasting and job.job_id in working:
                continue
            for position, step in enumerate(job.steps):
                left = [
                    key
                    for key in self.list_keys(job, position)
                    if key not in present and key not in self.model.judge.done
                ]
                if left and self.could_run(job, position):
                    limit_ms = LASTING_IDLE_MS if step.lasting else IDLE_MS
                    for key in left if step.lasting else left[:1]:
                        yield str(key), (job, limit_ms)

    def list_keys(self, job: steps.Job, position: int) -> list[steps.TaskKey]:
        """Returns the tasks of a step."""
        return [
            steps.TaskKey(
                job_id=job.job_id, repeat=0, step=position, index=index
            )
            for index in range(job.steps[position].count)
        ]

    def could_run(self, job: steps.Job, position: int) -> bool:
        """Returns whether a step's turn has come and there is no excuse."""
        step = job.steps[position]
        done = self.model.judge.done
        for before in step.after:
            keys = self.list_keys(job, before)
            is_done = [key in done for key in keys]
            if not (any if job.steps[before].gang else all)(is_done):
                return False
        count = step.count if step.gang else 1
        return self.count_slots(
            job, position
        ) >= 2 * count and self.is_half_free(job)

    def count_slots(
        self, job: steps.Job, position: int, *, is_empty: bool = False
    ) -> int:
        """Returns how many tasks of a step fit on minions that may run it.

        Args:
            job: The job.
            position: Position of the step.
            is_empty: Whether to count as if nothing ran.
        """
        step = job.steps[position]
        count = 0
        for minion in self.model.minions.values():
            usable = minion.registered and not minion.draining and minion.up
            if not usable or not may_run(job, position, minion):
                continue
            used = self.sum_needs(() if is_empty else minion.runs)
            room = self.model.scenario.minion_capacity - used
            fitting = room.cpu_millis // step.need.cpu_millis
            if step.need.memory_mb:
                fitting = min(fitting, room.memory_mb // step.need.memory_mb)
            if step.minion_limit:
                present = (
                    0 if is_empty else count_members(job, position, minion)
                )
                fitting = min(fitting, step.minion_limit - present)
            count += max(0, fitting)
        return count

    def is_half_free(self, job: steps.Job) -> bool:
        """Returns whether workspace and service use under half."""
        model = self.model
        runs = [run.key for run in orders.list_runs(model)]
        own = [
            key
            for key in runs
            if model.jobs[key.job_id].workspace == job.workspace
        ]
        limit = model.limits.history[job.workspace][-1][1]
        total = model.scenario.minion_count * model.scenario.minion_cpu
        return (
            2 * self.sum_needs(own).cpu_millis < limit
            and 2 * self.sum_needs(runs).cpu_millis < total
        )

    def sum_needs(self, keys) -> resources.Resources:
        """Returns what tasks occupy."""
        total = resources.ZERO
        for key in keys:
            total = total + self.model.jobs[key.job_id].steps[key.step].need
        return total

    def report(self, job: steps.Job, what: str) -> None:
        """Notes that a job is lost, and what the owner knows of it."""
        self.found.add(job.job_id)
        age_ms = self.model.now_ms - self.begun_ms
        self.faults.append(
            f"{self.model.now_ms}: LOST {job.job_id} {what}, {age_ms} ms after "
            f"all trouble: {describe(self.model, job)}"
        )


def may_run(job: steps.Job, position: int, minion: workers.Minion) -> bool:
    """Returns whether a minion has the label and the advice for a step."""
    step = job.steps[position]
    if step.label and step.label not in minion.labels:
        return False
    name = minions.format_step(job.job_id, 0, position)
    return job.queue.advice is None or advice.is_allowed(name, minion)


def count_members(job: steps.Job, position: int, minion: workers.Minion) -> int:
    """Returns how many tasks of a step run on a minion."""
    return sum(
        (key.job_id, key.step) == (job.job_id, position) for key in minion.runs
    )


def describe(model, job: steps.Job) -> str:
    """Returns what the owner knows of a job."""
    record = model.cell.jobs.get(job.job_id)
    if record is None:
        return "the owner doesn't know it"
    parts = [f"queue={job.queue.name} state={record.state}"]
    for (_, position), step in sorted(record.steps.items()):
        if step.is_done:
            continue
        parts += [
            f"step {position}: {step.step.count} x {step.step.need.cpu_millis}",
            f"gang={step.step.gang} lasting={step.step.lasting}",
            f"ready={id(step) in model.cell.ready}",
            waits.describe(model.cell, step).detail,
            describe_crashes(step),
            describe_minions(model, job, position),
        ]
    return "; ".join(parts)


def describe_minions(model, job: steps.Job, position: int) -> str:
    """Returns what runs on the minions that may run a step."""
    closed = solitude.list_closed(model.cell)
    parts = []
    for minion in model.minions.values():
        if not minion.registered or not may_run(job, position, minion):
            continue
        known = model.cell.minions.get(minion.name)
        runs = [
            f"{run.key.job_id[-4:]}.{run.key.step}.{run.key.index}"
            f"{'/suspect' * solitude.is_suspect(run)}"
            f"{'/lasting' * run.step.step.lasting if run.step else '/unknown'}"
            for run in (known.runs.values() if known else ())
        ]
        parts.append(
            f"{minion.name}{'/closed' * (minion.name in closed)}"
            f"{'' if known and known.is_open else '/not_open'}="
            f"[{' '.join(runs)}]"
        )
    return " ".join(parts)


def describe_crashes(step: state.StepRecord) -> str:
    """Returns the crashes under the tasks of a step."""
    return "crashes: " + (
        ", ".join(
            f"{index}: count={task.count} unstored={len(task.unstored)} "
            f"doubt={task.doubtful_run} hidden={task.hidden_limit} "
            f"solitary={task.solitary_run}"
            for index, task in step.crashes.items()
        )
        or "none"
    )
