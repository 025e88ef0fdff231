"""Callers who wait for answers, and requests sent on for them."""

from collections.abc import Callable
import dataclasses
import logging
import time
import uuid

import gevent
from gevent import event as gevent_event

from hickoryreach.structure import jobs
from hickoryreach.wire import messages
from hickoryreach_entry import assignment
from hickoryreach_entry import metrics
from hickoryreach_entry import minions

log = logging.getLogger(__name__)

REPEAT_S = 1.0
FIRST_NOTICE_S = 5.0
ANSWER_GRACE_S = 1.0
HELD_S = 60.0
HELD_REPEAT_S = 5.0
OUTCOME_S = 300.0
TAKEN_S = 5.0
RELAY_LIMIT_BYTES = 262_144


@dataclasses.dataclass(kw_only=True)
class Held:
    """A request whose body this entry keeps.

    Attributes:
        job: The request.
        body: Its body, kept only here.
        submission: Its submission, repeated until it has ended.
        until: Time, in s, after which it is given up.
        answer: Whole answer, once there is one.
        sent: Whether some attempt may have been executed.
        repeated_at: When it was last submitted, in s.
    """

    job: jobs.Job
    body: bytes
    submission: messages.Submission
    until: float
    answer: minions.Answer | None = None
    sent: bool = False
    repeated_at: float = 0.0


@dataclasses.dataclass(kw_only=True)
class Carried:
    """One attempt sent, or refused, on behalf of an owner.

    Attributes:
        dispatch: What the owner asked for.
        outcome: What is reported, once it is known.
        taken: Whether the owner has taken the outcome in.
        ended_at: When the outcome was known, in s.
    """

    dispatch: messages.Dispatch
    outcome: messages.Outcome | None = None
    taken: bool = False
    ended_at: float = 0.0

    @property
    def attempt(self) -> int:
        """Number of the attempt, which rises from owner to owner too."""
        return self.dispatch.attempt


@dataclasses.dataclass(kw_only=True)
class Waiter:
    """A caller who waits for news of one job.

    Attributes:
        job_id: The job.
        call_id: Identity of a submitting call.
        notice: Newest notice.
        held: The request, where this entry submits it.
        handed_over: Whether an owner may have been given the message.
        repeat_at: When its message is sent again, in s.
        changed: Set on each notice.
    """

    job_id: str
    call_id: str = ""
    notice: messages.Notice | None = None
    held: Held | None = None
    handed_over: bool = False
    repeat_at: float = 0.0
    changed: gevent_event.Event = dataclasses.field(
        default_factory=gevent_event.Event
    )

    @property
    def answer(self) -> minions.Answer | None:
        """Whole answer of a request, if this entry has it."""
        return self.held.answer if self.held is not None else None

    def take(self, notice: messages.Notice) -> None:
        """Takes in a notice, unless it refuses another call."""
        if notice.call_id and notice.call_id != self.call_id:
            return
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
        held: Requests whose body this entry keeps, by job id.
        carried: Attempts sent to minions, by job id.
        barriers: Term by shard, below which no dispatch is taken.
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
        self.send_request = send_request or minions.Minions().send
        self.waiters: dict[str, list[Waiter]] = {}
        self.held: dict[str, Held] = {}
        self.carried: dict[str, list[Carried]] = {}
        self.barriers: dict[int, int] = {}
        self.draining = False

    def submit(self, job: jobs.Job, *, body: bytes, wait_s: float) -> Waiter:
        """Submits a job; waits for its acceptance, then for its end.

        Args:
            job: The job.
            body: Body of a request.
            wait_s: How long to wait for the end, in s.
        """
        message = messages.Submission(
            job=messages.pack_job(job), call_id=str(uuid.uuid4())
        )
        waiter = Waiter(job_id=job.job_id, call_id=message.call_id)
        if job.kind is jobs.Kind.REQUEST:
            waiter.held = self.hold(job, body, message)
        self.wait(waiter, "submissions", message, wait_s)
        return waiter

    def hold(
        self, job: jobs.Job, body: bytes, submission: messages.Submission
    ) -> Held:
        """Keeps a request's body; a repeat with another body is kept out."""
        known = self.held.get(job.job_id)
        same = known is not None and known.job.digest == job.digest
        if same:
            return known
        length_s = max(HELD_S, job.timeout_ms / 1000)
        held = Held(
            job=job,
            body=body,
            submission=submission,
            until=time.monotonic() + length_s,
        )
        if known is None:
            self.held[job.job_id] = held
        return held

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
        self, waiter: Waiter, field: str, message: object, wait_s: float
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

    def send_message(self, waiter: Waiter, field: str, message: object) -> None:
        """Sends a waiter's message to the owner of its shard."""
        if field == "submissions":
            self.describe_attempts(waiter.held, message)
        shard = assignment.shard_of_job(waiter.job_id)
        if self.send_to_owner(shard, field, message):
            waiter.handed_over = True
            if field == "submissions":
                message.repeated = True

    def describe_attempts(
        self, held: Held | None, submission: messages.Submission
    ) -> None:
        """Tells in a submission what this entry knows of its attempts."""
        shard = assignment.shard_of_job(submission.job.job_id)
        submission.sent = held is not None and held.sent
        submission.barrier = self.barriers.get(shard, 0)

    def note_term(self, shard: int, term: int) -> None:
        """Takes no dispatch of an earlier owner of a shard any more."""
        self.barriers[shard] = max(self.barriers.get(shard, 0), term)

    def may_leave(self, waiter: Waiter) -> bool:
        """Returns whether a drain may answer a caller before the end."""
        return self.draining and waiter.held is None

    def conclude(self, waiter: Waiter, field: str) -> None:
        """Says truly whether a submission without notice was carried out."""
        held = waiter.held
        if waiter.notice is None and field == "submissions":
            never_sent = not waiter.handed_over
            if held is not None and waiter.job_id not in self.waiters:
                never_sent = not held.sent
            if never_sent:
                waiter.notice = describe_unsent(waiter)
        if waiter.is_final():
            self.finish(waiter, held)

    def finish(self, waiter: Waiter, held: Held | None) -> None:
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
        if self.held.get(waiter.job_id) is held:
            del self.held[waiter.job_id]

    def drain(self) -> None:
        """Answers those who wait for jobs that go on without this entry."""
        self.draining = True
        for group in self.waiters.values():
            for waiter in group:
                waiter.changed.set()

    def is_busy(self) -> bool:
        """Returns whether a caller or an outcome still depends on this."""
        unreported = any(
            not carried.taken
            for group in self.carried.values()
            for carried in group
        )
        return bool(self.waiters or self.held or unreported)

    def resend(self, shard: int) -> None:
        """Repeats what waits for the owner of a shard, which has changed."""
        for job_id, group in self.waiters.items():
            if assignment.shard_of_job(job_id) == shard:
                for waiter in group:
                    waiter.repeat_at = 0.0
                    waiter.changed.set()
        self.repeat_outcomes(shard)

    def repeat_forever(self) -> None:
        """Repeats outcomes and held requests until they are taken in."""
        while True:
            gevent.sleep(REPEAT_S)
            self.repeat_outcomes(None)
            self.repeat_held(time.monotonic())

    def repeat_outcomes(self, shard: int | None) -> None:
        """Reports outcomes that no owner has taken in yet."""
        now = time.monotonic()
        for job_id, group in list(self.carried.items()):
            if self.is_over(job_id, group, now):
                del self.carried[job_id]
                continue
            if shard is None or assignment.shard_of_job(job_id) == shard:
                for carried in group:
                    self.report(carried)

    def is_over(self, job_id: str, group: list[Carried], now: float) -> bool:
        """Returns whether a request's attempts may be forgotten.

        A late copy of a dispatch must find its attempt while the request may
        still be sent.
        """
        if job_id in self.held or any(not each.outcome for each in group):
            return False
        taken = all(each.taken for each in group)
        length_s = TAKEN_S if taken else OUTCOME_S
        return now - max(each.ended_at for each in group) > length_s

    def repeat_held(self, now: float) -> None:
        """Submits held requests again that no caller waits for."""
        for job_id, held in list(self.held.items()):
            if now > held.until and not self.is_carried(job_id):
                del self.held[job_id]
            elif job_id not in self.waiters and (
                now - held.repeated_at > HELD_REPEAT_S
            ):
                held.repeated_at = now
                held.submission.repeated = True
                self.describe_attempts(held, held.submission)
                shard = assignment.shard_of_job(job_id)
                self.send_to_owner(shard, "submissions", held.submission)

    def take_notice(self, notice: messages.Notice) -> None:
        """Hands a notice to the callers who wait for it."""
        if notice.taken_attempt:
            self.take_receipt(notice)
        if not notice.state:
            return
        final = jobs.JobState(notice.state).is_final
        if final and notice.job_id not in self.waiters and not notice.call_id:
            self.held.pop(notice.job_id, None)
        for waiter in self.waiters.get(notice.job_id, ()):
            waiter.take(notice)

    def take_receipt(self, notice: messages.Notice) -> None:
        """Notes that an outcome need not be repeated."""
        for carried in self.carried.get(notice.job_id, ()):
            if carried.attempt == notice.taken_attempt:
                carried.taken = True
                if carried.outcome is not None:
                    carried.outcome.answer = b""

    def is_carried(self, job_id: str) -> bool:
        """Returns whether an attempt is being sent."""
        return any(
            carried.outcome is None for carried in self.carried.get(job_id, ())
        )

    def take_dispatch(self, dispatch: messages.Dispatch) -> None:
        """Sends a request to its minion, once, and never twice at a time."""
        received = time.monotonic()
        shard = assignment.shard_of_job(dispatch.job_id)
        if dispatch.term < self.barriers.get(shard, 0):
            return
        carried = Carried(dispatch=dispatch)
        group = self.carried.setdefault(dispatch.job_id, [])
        for known in group:
            if known.attempt == carried.attempt:
                self.report(known)
                return
            if known.attempt > carried.attempt:
                return
        busy = self.is_carried(dispatch.job_id)
        group.append(carried)
        held = self.held.get(dispatch.job_id)
        if busy:
            self.end(carried, minions.not_run("another attempt is under way"))
        elif held is None:
            self.end(carried, minions.not_run("caller gone"))
        else:
            held.sent = True
            gevent.spawn(self.carry, held, carried, received)

    def carry(self, held: Held, carried: Carried, received: float) -> None:
        """Sends one request and reports its end to the owner."""
        with metrics.requests_carried.track_inprogress():
            answer = self.send_request(
                held.job, held.body, carried.dispatch, received
            )
        if answer.result is jobs.TaskResult.NOT_RUN:
            held.sent = any(
                other.outcome is None
                or other.outcome.result != str(jobs.TaskResult.NOT_RUN)
                for other in self.carried[held.job.job_id]
                if other is not carried
            )
        self.end(carried, answer)
        if answer.result is jobs.TaskResult.SUCCEEDED:
            held.answer = answer
            delay_s = 0.0 if held.job.idempotent else ANSWER_GRACE_S
            gevent.spawn_later(delay_s, self.answer_callers, held, carried)

    def answer_callers(self, held: Held, carried: Carried) -> None:
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

    def end(self, carried: Carried, answer: minions.Answer) -> None:
        """Notes how an attempt ended, and reports it."""
        dispatch = carried.dispatch
        relayed = len(answer.body) <= RELAY_LIMIT_BYTES
        carried.ended_at = time.monotonic()
        carried.outcome = messages.Outcome(
            job_id=dispatch.job_id,
            attempt=dispatch.attempt,
            worker_id=dispatch.worker_id,
            result=str(answer.result),
            run_ms=answer.run_ms,
            answer=answer.body if relayed else b"",
            status=answer.status,
            reason=answer.reason if relayed else "answer_not_kept",
            term=dispatch.term,
        )
        self.report(carried)

    def report(self, carried: Carried) -> None:
        """Tells the owner how an attempt ended."""
        if carried.outcome is None or carried.taken:
            return
        shard = assignment.shard_of_job(carried.outcome.job_id)
        self.send_to_owner(shard, "outcomes", carried.outcome)


def describe_unsent(waiter: Waiter) -> messages.Notice:
    """Returns the notice for a submission that certainly was not run."""
    reason = "no_owner"
    detail = "No owner of the shard answers; send the work again later."
    if waiter.handed_over:
        reason = "not_started"
        detail = "It was not started in time; send the work again later."
    return messages.Notice(
        job_id=waiter.job_id,
        state=str(jobs.JobState.REFUSED),
        ran=str(jobs.ExecutionStatus.NOT_RUN),
        reason=reason,
        detail=detail,
    )
