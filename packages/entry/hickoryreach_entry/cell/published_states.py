"""Job states that one ownership publishes to callers."""

from collections.abc import Callable
import logging
import time

from gevent import event as gevent_event

from hickoryreach.scheduling import state
from hickoryreach.structure import steps
from hickoryreach.wire import frames
from hickoryreach_entry.cell import job_sizes
from hickoryreach_entry.cell import records

log = logging.getLogger(__name__)


class PublishedStates:
    """Published states of stored jobs, and callers that wait for one.

    Attributes:
        states: Published state of each job, by job id.
        workspaces: Workspace of each of these jobs.
        unstarted: Queue name of each job none of whose tasks has started.
        waiters: Events by job id, set once its final state is published.
        job_bytes: Memory that each job takes of the owner, in bytes.
        held_bytes: Sum of it.
    """

    def __init__(self, *, on_final: Callable[[str, float], None]) -> None:
        """Creates an instance without jobs.

        Args:
            on_final: Called with each job whose final state is published, and
                the time on the monotonic clock in s.
        """
        self.on_final = on_final
        self.states: dict[str, state.JobState] = {}
        self.workspaces: dict[str, str] = {}
        self.unstarted: dict[str, str] = {}
        self.waiters: dict[str, gevent_event.Event] = {}
        self.job_bytes: dict[str, int] = {}
        self.held_bytes = 0

    def __contains__(self, job_id: str) -> bool:
        """Returns whether a job is known."""
        return job_id in self.states

    def record_job(self, job: steps.Job, *, quiet: bool = False) -> None:
        """Adds a job, which callers may query from now on.

        Args:
            job: The job.
            quiet: Whether to log nothing, as for jobs of an earlier owner.
        """
        if job.job_id in self.states:
            return
        self.states[job.job_id] = state.JobState.QUEUED
        self.workspaces[job.job_id] = job.workspace
        self.unstarted[job.job_id] = job.queue.name
        self.job_bytes[job.job_id] = job_sizes.estimate_bytes(job)
        self.held_bytes += self.job_bytes[job.job_id]
        if quiet:
            return
        log.info(
            "job_accepted",
            extra={
                "job": job.job_id,
                "workspace": job.workspace,
                "queue": job.queue.name,
                "steps": len(job.steps),
                "tasks": sum(step.count for step in job.steps),
            },
        )

    def record_final(self, job_id: str, final: records.FinalRecord) -> None:
        """Adds a job that reached its final state under an earlier owner."""
        self.states[job_id] = final.final
        self.workspaces[job_id] = final.workspace
        self.on_final(job_id, time.monotonic())

    def drop_job(self, job_id: str) -> None:
        """Drops a job whose state is no longer retained for callers."""
        self.states.pop(job_id, None)
        self.workspaces.pop(job_id, None)
        self.held_bytes -= self.job_bytes.pop(job_id, 0)

    def publish(self, job_id: str, new_state: state.JobState) -> None:
        """Publishes a job's state; a final state is never replaced."""
        if job_id in self.states and self.states[job_id].is_final:
            return
        self.states[job_id] = new_state
        if new_state is not state.JobState.QUEUED:
            self.unstarted.pop(job_id, None)
        if new_state.is_final:
            self.on_final(job_id, time.monotonic())
            waiter = self.waiters.pop(job_id, None)
            if waiter is not None:
                waiter.set()

    def query(self, query: frames.Query) -> frames.JobReport:
        """Returns the published state of a job, if the caller may see it."""
        if not self.belongs_to(query.job_id, query.workspace):
            return frames.JobReport(known=False)
        return frames.JobReport(
            known=True, state=str(self.states[query.job_id])
        )

    def belongs_to(self, job_id: str, workspace: str) -> bool:
        """Returns whether a job is known and belongs to a workspace.

        An empty workspace matches every job.
        """
        if job_id not in self.states:
            return False
        return not workspace or self.workspaces[job_id] == workspace

    def wait_until_final(self, job_id: str, timeout_s: float) -> bool:
        """Waits until a job's final state is published.

        Args:
            job_id: The job.
            timeout_s: How long to wait, in s.

        Returns:
            Whether the final state was published in time.
        """
        waiter = self.waiters.setdefault(job_id, gevent_event.Event())
        return bool(waiter.wait(timeout_s))

    def count_pending(self) -> dict[str, int]:
        """Returns the number of jobs without a started task, by queue."""
        counts: dict[str, int] = {}
        for queue in self.unstarted.values():
            counts[queue] = counts.get(queue, 0) + 1
        return counts
