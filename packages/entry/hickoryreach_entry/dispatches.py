"""Requests whose body this entry keeps, and the attempts it sends of them."""

from collections.abc import Callable
import dataclasses
import time

import gevent

from hickoryreach.structure import jobs
from hickoryreach.wire import messages
from hickoryreach_entry import assignment
from hickoryreach_entry import metrics
from hickoryreach_entry import minions

ANSWER_GRACE_S = 1.0
HELD_S = 60.0
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


class Dispatches:
    """Sends requests to minions for owners, and reports how that ended.

    Attributes:
        send_to_owner: Sends a message to the owner of a shard.
        send_request: Sends a request to its minion.
        on_answer: Is told of each whole answer, after its report.
        held: Requests whose body this entry keeps, by job id.
        carried: Attempts sent to minions, by job id.
        barriers: Term by shard, below which no dispatch is taken.
    """

    def __init__(
        self,
        *,
        send_to_owner: Callable[[int, str, object], bool],
        send_request: Callable[..., minions.Answer],
        on_answer: Callable[[Held, Carried], None],
    ) -> None:
        """Creates dispatches of nothing yet."""
        self.send_to_owner = send_to_owner
        self.send_request = send_request
        self.on_answer = on_answer
        self.held: dict[str, Held] = {}
        self.carried: dict[str, list[Carried]] = {}
        self.barriers: dict[int, int] = {}

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

    def release(self, held: Held) -> None:
        """Lets go of a request that has ended."""
        if self.held.get(held.job.job_id) is held:
            del self.held[held.job.job_id]

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

    def is_unreported(self) -> bool:
        """Returns whether some owner has not taken an outcome in yet."""
        return any(
            not carried.taken
            for group in self.carried.values()
            for carried in group
        )

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

    def take(self, dispatch: messages.Dispatch) -> None:
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
            gevent.spawn_later(delay_s, self.on_answer, held, carried)

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
