"""Jobs that could run and don't, once all trouble has ended."""

from __future__ import annotations

from collections.abc import Collection
import time

from standins.users import cell

FINISH_S = 14.0
IDLE_S = 3.0


class Judge:
    """Watches the jobs that are not completed, from FINISH_S on.

    A job waits for too long if for IDLE_S on end nothing of it begins, runs or
    ends while the minions of its kind have room for it twice over, its
    workspace uses under half of its limit, and under half of all room is used.

    Attributes:
        found: What was found, by job.
    """

    def __init__(
        self,
        *,
        whole: cell.Cell,
        labels: dict[str, str],
        tasks: int,
        task_cpu: int,
    ) -> None:
        """Begins when all trouble has ended.

        Args:
            whole: The cell.
            labels: Labels that jobs require, by job.
            tasks: Number of tasks of each job.
            task_cpu: What each takes, in thousandths of a core.
        """
        self.users = whole.users
        self.labels = labels
        self.tasks = tasks
        self.task_cpu = task_cpu
        self.begun_at = time.monotonic()
        self.idle: dict[str, tuple[int, float]] = {}
        self.found: dict[str, str] = {}

    def watch(self, left: Collection[str]) -> None:
        """Looks at the jobs that are not completed."""
        now = time.monotonic()
        if now < self.begun_at + FINISH_S:
            return
        for job_id in left:
            count = self.count_seen(job_id)
            known = self.idle.get(job_id)
            if known is None or known[0] != count or not self.could_run(job_id):
                self.idle[job_id] = count, now
            elif now - known[1] >= IDLE_S:
                self.found.setdefault(
                    job_id,
                    f"{job_id} could run and doesn't, "
                    f"{now - self.begun_at:.1f} s after all trouble",
                )

    def count_seen(self, job_id: str) -> int:
        """Returns how much minions have begun and ended of a job."""
        return sum(each.task.startswith(job_id) for each in self.users.seen)

    def could_run(self, job_id: str) -> bool:
        """Returns whether nothing of a job runs and nothing is in its way."""
        present = {
            name: len(minion.runs)
            for name, minion in self.users.minions.items()
        }
        if self.is_at_work(job_id) or self.is_done(job_id):
            return False
        used_cpu = sum(present.values()) * self.task_cpu
        total_cpu = sum(each.cpu for each in self.users.minions.values())
        limit_cpu = self.users.limit_cpu or total_cpu
        if 2 * used_cpu >= min(limit_cpu, total_cpu):
            return False
        label = self.labels.get(job_id)
        free_cpu = sum(
            minion.cpu - present[name] * self.task_cpu
            for name, minion in self.users.minions.items()
            if label in (None, minion.kind) and not minion.silent
        )
        return free_cpu >= 2 * self.tasks * self.task_cpu

    def is_at_work(self, job_id: str) -> bool:
        """Returns whether a task of a job runs."""
        return any(
            task.startswith(job_id)
            for minion in self.users.minions.values()
            for task in minion.runs
        )

    def is_done(self, job_id: str) -> bool:
        """Returns whether all tasks of a job have ended `done`."""
        done = {
            each.task
            for each in self.users.seen
            if each.what == "end"
            and each.how == "done"
            and each.task.startswith(job_id)
        }
        return len(done) >= self.tasks
