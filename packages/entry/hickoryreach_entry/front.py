"""Hands callers' work to owners, and waits with them for its end."""

from collections.abc import Callable
import time
import uuid

import gevent

from hickoryreach.structure import jobs
from hickoryreach.wire import messages
from hickoryreach_entry import assignment
from hickoryreach_entry import dispatches
from hickoryreach_entry import metrics
from hickoryreach_entry import minions
from hickoryreach_entry import waiters

REPEAT_S = 1.0
FIRST_NOTICE_S = 5.0
HELD_REPEAT_S = 5.0


class Front:
    """Submits work and waits for its answers.

    Attributes:
        waiters: Callers by job id.
        dispatches: Requests that this entry keeps and sends to minions.
        draining: Whether long waits are cut short with a job id.
    """

    def __init__(
        self,
        *,
        name: str,
        send_to_owner: Callable[[int, str, object], bool],
        send_request: Callable[..., minions.Answer] | None = None,
    ) -> None:
        """Creates a front without callers."""
        self.name = name
        self.send_to_owner = send_to_owner
        self.waiters: dict[str, list[waiters.Waiter]] = {}
        self.dispatches = dispatches.Dispatches(
            send_to_owner=send_to_owner,
            send_request=send_request or minions.Minions().send,
            on_answer=self.answer_callers,
        )
        self.draining = False

    def submit(
        self, job: jobs.Job, *, body: bytes, wait_s: float
    ) -> waiters.Waiter:
        """Submits a job; waits for its acceptance, then for its end.

        Args:
            job: The job.
            body: Body of a request.
            wait_s: How long to wait for the end, in s.
        """
        message = messages.Submission(
            job=messages.pack_job(job), call_id=str(uuid.uuid4())
        )
        waiter = waiters.Waiter(job_id=job.job_id, call_id=message.call_id)
        if job.kind is jobs.Kind.REQUEST:
            waiter.held = self.dispatches.hold(job, body, message)
        self.wait(waiter, "submissions", message, wait_s)
        return waiter

    def query(
        self, job_id: str, workspace: str, *, wait_s: float
    ) -> waiters.Waiter:
        """Asks for a job's state; waits for its end."""
        message = messages.Query(job_id=job_id, workspace=workspace)
        return self.ask("queries", message, wait_s)

    def cancel(
        self, job_id: str, workspace: str, *, wait_s: float
    ) -> waiters.Waiter:
        """Cancels a job."""
        message = messages.Cancellation(job_id=job_id, workspace=workspace)
        return self.ask("cancellations", message, wait_s)

    def ask(
        self,
        field: str,
        message: messages.Query | messages.Cancellation,
        wait_s: float,
    ) -> waiters.Waiter:
        """Sends a message about a job; waits for the job's end."""
        waiter = waiters.Waiter(job_id=message.job_id)
        self.wait(waiter, field, message, wait_s)
        return waiter

    def wait(
        self, waiter: waiters.Waiter, field: str, message: object, wait_s: float
    ) -> None:
        """Sends a message until answered, then waits for the end.

        Without any notice the wait ends after FIRST_NOTICE_S or `wait_s`,
        whichever is longer.
        """
        self.waiters.setdefault(waiter.job_id, []).append(waiter)
        metrics.callers_waiting.inc()
        try:
            self.wait_for_end(waiter, field, message, wait_s)
        finally:
            metrics.callers_waiting.dec()
            self.waiters[waiter.job_id].remove(waiter)
            if not self.waiters[waiter.job_id]:
                del self.waiters[waiter.job_id]
            self.conclude(waiter, field)

    def wait_for_end(
        self, waiter: waiters.Waiter, field: str, message: object, wait_s: float
    ) -> None:
        """Repeats a message until its job has ended or time is over."""
        started = time.monotonic()
        while not waiter.is_final():
            now = time.monotonic()
            if now >= waiter.repeat_at:
                waiter.repeat_at = now + REPEAT_S
                self.send_message(waiter, field, message)
            length_s = wait_s
            if waiter.notice is None:
                length_s = max(wait_s, FIRST_NOTICE_S)
            elif self.may_leave(waiter):
                return
            left = started + length_s - now
            if left <= 0:
                return
            waiter.changed.wait(min(waiter.repeat_at - now, left))
            waiter.changed.clear()

    def send_message(
        self, waiter: waiters.Waiter, field: str, message: object
    ) -> None:
        """Sends a waiter's message to the owner of its shard."""
        if field == "submissions":
            self.dispatches.describe_attempts(waiter.held, message)
        shard = assignment.shard_of_job(waiter.job_id)
        if self.send_to_owner(shard, field, message):
            waiter.handed_over = True
            if field == "submissions":
                message.repeated = True

    def may_leave(self, waiter: waiters.Waiter) -> bool:
        """Returns whether a drain may answer a caller before the end."""
        return self.draining and waiter.held is None

    def conclude(self, waiter: waiters.Waiter, field: str) -> None:
        """Says truly whether a submission without notice was carried out."""
        held = waiter.held
        if waiter.notice is None and field == "submissions":
            never_sent = not waiter.handed_over
            if held is not None and waiter.job_id not in self.waiters:
                never_sent = not held.sent
            if never_sent:
                waiter.notice = waiters.describe_unsent(waiter)
        if waiter.is_final():
            self.finish(waiter, held)

    def finish(
        self, waiter: waiters.Waiter, held: dispatches.Held | None
    ) -> None:
        """Lets go of a request that has ended."""
        if held is None:
            return
        refused = waiter.notice.state == str(jobs.JobState.REFUSED)
        if (
            refused
            and held.sent
            and waiter.notice.ran == str(jobs.ExecutionStatus.NOT_RUN)
        ):
            waiter.notice.ran = str(jobs.ExecutionStatus.UNKNOWN)
        self.dispatches.release(held)

    def drain(self) -> None:
        """Answers those who wait for jobs that go on without this entry."""
        self.draining = True
        for group in self.waiters.values():
            for waiter in group:
                waiter.changed.set()

    def is_busy(self) -> bool:
        """Returns whether a caller or an outcome still depends on this."""
        return bool(
            self.waiters
            or self.dispatches.held
            or self.dispatches.is_unreported()
        )

    def resend(self, shard: int) -> None:
        """Repeats what waits for the owner of a shard, which has changed."""
        for job_id, group in self.waiters.items():
            if assignment.shard_of_job(job_id) == shard:
                for waiter in group:
                    waiter.repeat_at = 0.0
                    waiter.changed.set()
        self.dispatches.repeat_outcomes(shard)

    def repeat_forever(self) -> None:
        """Repeats outcomes and held requests until they are taken in."""
        while True:
            gevent.sleep(REPEAT_S)
            self.dispatches.repeat_outcomes(None)
            self.repeat_held(time.monotonic())

    def repeat_held(self, now: float) -> None:
        """Submits held requests again that no caller waits for."""
        for job_id, held in list(self.dispatches.held.items()):
            if now > held.until and not self.dispatches.is_carried(job_id):
                del self.dispatches.held[job_id]
            elif job_id not in self.waiters and (
                now - held.repeated_at > HELD_REPEAT_S
            ):
                held.repeated_at = now
                held.submission.repeated = True
                self.dispatches.describe_attempts(held, held.submission)
                shard = assignment.shard_of_job(job_id)
                self.send_to_owner(shard, "submissions", held.submission)

    def take_notice(self, notice: messages.Notice) -> None:
        """Hands a notice to the callers who wait for it."""
        if notice.taken_attempt:
            self.dispatches.take_receipt(notice)
        if not notice.state:
            return
        final = jobs.JobState(notice.state).is_final
        if final and notice.job_id not in self.waiters and not notice.call_id:
            self.dispatches.held.pop(notice.job_id, None)
        for waiter in self.waiters.get(notice.job_id, ()):
            waiter.take(notice)

    def answer_callers(
        self, held: dispatches.Held, carried: dispatches.Carried
    ) -> None:
        """Gives a whole answer to callers that the owner has not told yet."""
        notice = messages.Notice(
            job_id=held.job.job_id,
            state=str(jobs.JobState.SUCCEEDED),
            ran=str(jobs.ExecutionStatus.RAN),
            status=held.answer.status,
            tasks=1,
            tasks_done=1,
            workers=[carried.dispatch.worker_id],
        )
        for waiter in self.waiters.get(held.job.job_id, ()):
            if waiter.held is held and not waiter.is_final():
                waiter.take(notice)
