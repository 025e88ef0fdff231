"""Judge of what the model's minions run."""

import collections
from collections.abc import Sequence

from hickoryreach.structure import steps
from tests.core.scheduling.model import limits as limits_module
from tests.core.scheduling.model import workers

MAX_LIMIT_FACTOR = 1.1


class Judge:
    """Checks every start against everything that runs.

    Attributes:
        jobs: All jobs by id.
        limits: Limits of the workspaces.
        done: Tasks whose end `done` is stored.
        latest_starts: Number of the latest run of each task.
        faults: What must not have happened, one line each.
    """

    def __init__(
        self, *, jobs: dict[str, steps.Job], limits: limits_module.Limits
    ) -> None:
        """Creates a judge that has seen nothing."""
        self.jobs = jobs
        self.limits = limits
        self.done: set[steps.TaskKey] = set()
        self.latest_starts: dict[steps.TaskKey, int] = {}
        self.faults: list[str] = []

    def check_done(self, key: steps.TaskKey, number: int) -> None:
        """Checks that no run began after one whose end `done` is noted."""
        if self.latest_starts.get(key, 0) > number:
            self.faults.append(f"{key} was started again, run {number} is done")

    def check(
        self,
        key: steps.TaskKey,
        number: int,
        present: Sequence[workers.Run],
        now_ms: int,
    ) -> None:
        """Checks the start of a task, which is among the present runs."""
        self.latest_starts[key] = max(self.latest_starts.get(key, 0), number)
        if sum(run.key == key for run in present) > 1:
            self.faults.append(f"{now_ms}: {key} runs twice")
        if key in self.done:
            self.faults.append(f"{now_ms}: {key} starts again")
        self.check_limit(key, present, now_ms)

    def check_route(self, key: steps.TaskKey, minion: workers.Minion) -> None:
        """Checks that a minion may run a task that it has just begun."""
        step = self.jobs[key.job_id].steps[key.step]
        if step.label and step.label not in minion.labels:
            self.faults.append(
                f"{key} requires {step.label} and starts on {minion.name} of "
                f"kind {minion.kind}, life {minion.incarnation}"
            )
        count = sum(
            (each.job_id, each.step) == (key.job_id, key.step)
            for each in minion.runs
        )
        if step.minion_limit and count > step.minion_limit:
            self.faults.append(
                f"{minion.name} runs {count} tasks with {key}, "
                f"{step.minion_limit} may"
            )

    def check_limit(
        self, key: steps.TaskKey, present: Sequence[workers.Run], now_ms: int
    ) -> None:
        """Checks what the workspace of a task has running with it."""
        workspace = self.jobs[key.job_id].workspace
        used: collections.Counter[str] = collections.Counter()
        for run in present:
            job = self.jobs[run.key.job_id]
            used[job.workspace] += job.steps[run.key.step].need.cpu_millis
        limit_cpu = self.limits.get_highest(workspace, now_ms)
        need = self.jobs[key.job_id].steps[key.step].need
        allowed = limit_cpu * MAX_LIMIT_FACTOR + need.cpu_millis
        if used[workspace] > allowed:
            self.faults.append(
                f"{now_ms}: {workspace} runs {used[workspace]} with {key}, "
                f"it may {allowed:.0f}"
            )
