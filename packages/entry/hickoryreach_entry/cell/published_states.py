"""What callers may be told of the jobs of one ownership."""

from collections.abc import Callable
import logging
import time

from gevent import event as gevent_event

from hickoryreach.scheduling import state
from hickoryreach.structure import steps
from hickoryreach.wire import frames
from hickoryreach_entry.cell import records

log = logging.getLogger(__name__)


class PublishedStates:
    """States of jobs that are kept, and callers that wait for one.

    Attributes:
        states: State of each job as callers may be told.
        workspaces: Workspace of each of these jobs.
        unstarted: Queue of each job none of whose tasks has started.
        waiters: Set once a job is shown in its final state.
    """

    def __init__(self, *, on_final: Callable[[str, float], None]) -> None:
        """Creates a showing without jobs.

        Args:
            on_final: Called with each job that is final, and the time in s.
        """
        self.on_final = on_final
        self.states: dict[str, state.JobState] = {}
        self.workspaces: dict[str, str] = {}
        self.unstarted: dict[str, str] = {}
        self.waiters: dict[str, gevent_event.Event] = {}

    def __contains__(self, job_id: str) -> bool:
        """Returns whether a job is known."""
        return job_id in self.states

    def record_job(self, job: steps.Job, *, quiet: bool = False) -> None:
        """Notes a job that callers may ask about from now on.

        Args:
            job: The job.
            quiet: Whether to log nothing, as for jobs of an earlier owner.
        """
        if job.job_id in self.states:
            return
        self.states[job.job_id] = state.JobState.QUEUED
        self.workspaces[job.job_id] = job.workspace
        self.unstarted[job.job_id] = job.queue.name
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
        """Notes a job that an earlier owner has brought to an end."""
        self.states[job_id] = final.final
        self.workspaces[job_id] = final.workspace
        self.on_final(job_id, time.monotonic())

    def forget(self, job_id: str) -> None:
        """Forgets a job whose state need not be told any more."""
        self.states.pop(job_id, None)
        self.workspaces.pop(job_id, None)

    def publish(self, job_id: str, shown: state.JobState) -> None:
        """Lets callers see a state of a job."""
        if job_id in self.states and self.states[job_id].is_final:
            return
        self.states[job_id] = shown
        if shown is not state.JobState.QUEUED:
            self.unstarted.pop(job_id, None)
        if shown.is_final:
            self.on_final(job_id, time.monotonic())
            waiter = self.waiters.pop(job_id, None)
            if waiter is not None:
                waiter.set()

    def query(self, query: frames.Query) -> frames.JobReport:
        """Returns what a caller may be told of a job."""
        if not self.belongs_to(query.job_id, query.workspace):
            return frames.JobReport(known=False)
        return frames.JobReport(
            known=True, state=str(self.states[query.job_id])
        )

    def belongs_to(self, job_id: str, workspace: str) -> bool:
        """Returns whether a job is known and belongs to a workspace."""
        if job_id not in self.states:
            return False
        return not workspace or self.workspaces[job_id] == workspace

    def wait_until_final(self, job_id: str, timeout_s: float) -> bool:
        """Waits until a job is shown in its final state."""
        waiter = self.waiters.setdefault(job_id, gevent_event.Event())
        return bool(waiter.wait(timeout_s))

    def count_pending(self) -> dict[str, int]:
        """Returns the jobs by queue none of whose tasks has started."""
        counts: dict[str, int] = {}
        for queue in self.unstarted.values():
            counts[queue] = counts.get(queue, 0) + 1
        return counts
