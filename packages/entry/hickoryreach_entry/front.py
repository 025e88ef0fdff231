"""The front door: callers who wait, and the owners that decide for them."""

from collections.abc import Callable
import dataclasses
import logging
import time

import gevent
from gevent import event as gevent_event

from hickoryreach.structure import jobs
from hickoryreach.wire import messages
from hickoryreach_entry import assignment
from hickoryreach_entry import minions

log = logging.getLogger(__name__)

REPEAT_S = 1.0


@dataclasses.dataclass(kw_only=True)
class Waiter:
    """A caller who waits for news of one job.

    Attributes:
        job_id: The job.
        job: The job, where this entry submits it.
        body: Body of a request, kept only here.
        notice: Newest notice.
        answer: Whole answer of a request.
        changed: Set on each notice.
        dispatched: Attempts sent to a minion, so that none is sent twice.
    """

    job_id: str
    job: jobs.Job | None = None
    body: bytes = b""
    notice: messages.Notice | None = None
    answer: minions.Answer | None = None
    changed: gevent_event.Event = dataclasses.field(
        default_factory=gevent_event.Event
    )
    dispatched: set[int] = dataclasses.field(default_factory=set)

    def take(self, notice: messages.Notice) -> None:
        """Takes in a notice."""
        self.notice = notice
        self.changed.set()

    def is_final(self) -> bool:
        """Returns whether nothing more will come."""
        if self.notice is None:
            return False
        return jobs.JobState(self.notice.state).is_final


class Front:
    """Submits work and waits for its answers.

    Attributes:
        waiters: Callers by job id.
        send: Sends one message to the owner of a shard.
    """

    def __init__(
        self,
        *,
        name: str,
        send_to_owner: Callable[[int, str, object], bool],
    ) -> None:
        """Creates a front door without callers."""
        self.name = name
        self.send_to_owner = send_to_owner
        self.waiters: dict[str, list[Waiter]] = {}

    def submit(self, job: jobs.Job, *, body: bytes, wait_s: float) -> Waiter:
        """Submits a job; waits for its acceptance, then for its end.

        Args:
            job: The job.
            body: Body of a request.
            wait_s: How long to wait for the end, in s.
        """
        waiter = Waiter(job_id=job.job_id, job=job, body=body)
        message = messages.Submission(job=messages.pack_job(job))
        self.wait(waiter, "submissions", message, wait_s)
        return waiter

    def query(self, job_id: str, workspace: str, *, wait_s: float) -> Waiter:
        """Asks for a job's state; waits for its end."""
        waiter = Waiter(job_id=job_id)
        message = messages.Query(job_id=job_id, workspace=workspace)
        self.wait(waiter, "queries", message, wait_s)
        return waiter

    def cancel(self, job_id: str, workspace: str, *, wait_s: float) -> Waiter:
        """Cancels a job."""
        waiter = Waiter(job_id=job_id)
        message = messages.Cancellation(job_id=job_id, workspace=workspace)
        self.wait(waiter, "cancellations", message, wait_s)
        return waiter

    def wait(
        self, waiter: Waiter, field: str, message: object, wait_s: float
    ) -> None:
        """Sends a message until answered, then waits for the end."""
        self.waiters.setdefault(waiter.job_id, []).append(waiter)
        deadline = time.monotonic() + wait_s
        shard = assignment.shard_of_job(waiter.job_id)
        try:
            while not waiter.is_final():
                self.send_to_owner(shard, field, message)
                left = deadline - time.monotonic()
                if left <= 0 and waiter.notice is not None:
                    return
                if left <= -wait_s - REPEAT_S * 5:
                    return
                waiter.changed.wait(min(REPEAT_S, max(left, 0.05)))
                waiter.changed.clear()
        finally:
            self.waiters[waiter.job_id].remove(waiter)
            if not self.waiters[waiter.job_id]:
                del self.waiters[waiter.job_id]

    def take_notice(self, notice: messages.Notice) -> None:
        """Hands a notice to the callers who wait for it."""
        for waiter in self.waiters.get(notice.job_id, ()):
            waiter.take(notice)

    def take_dispatch(self, dispatch: messages.Dispatch) -> None:
        """Sends a request to its minion, unless nobody holds its body."""
        holders = [
            waiter
            for waiter in self.waiters.get(dispatch.job_id, ())
            if waiter.job is not None
        ]
        if not holders:
            self.report(dispatch, minions.not_run("caller gone"))
            return
        if dispatch.attempt in holders[0].dispatched:
            return
        holders[0].dispatched.add(dispatch.attempt)
        gevent.spawn(self.carry, holders[0], dispatch)

    def carry(self, waiter: Waiter, dispatch: messages.Dispatch) -> None:
        """Sends one request and reports its end to the owner."""
        answer = minions.send(waiter.job, waiter.body, dispatch)
        if answer.result is jobs.TaskResult.SUCCEEDED:
            for holder in self.waiters.get(dispatch.job_id, ()):
                holder.answer = answer
        self.report(dispatch, answer)

    def report(
        self, dispatch: messages.Dispatch, answer: minions.Answer
    ) -> None:
        """Tells the owner how a dispatch ended."""
        self.send_to_owner(
            assignment.shard_of_job(dispatch.job_id),
            "outcomes",
            messages.Outcome(
                job_id=dispatch.job_id,
                attempt=dispatch.attempt,
                worker_id=dispatch.worker_id,
                result=str(answer.result),
                run_ms=answer.run_ms,
                answer=answer.body,
                status=answer.status,
                reason=answer.reason,
            ),
        )
