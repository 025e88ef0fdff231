"""Messages of entries to the owner of a shard."""

import collections
import logging
import time

from returns import result

from hickoryreach.decisions import admission
from hickoryreach.decisions import events
from hickoryreach.structure import jobs
from hickoryreach.wire import messages
from hickoryreach_entry import metrics
from hickoryreach_entry.owner import carriers
from hickoryreach_entry.owner import journal
from hickoryreach_entry.owner import notices
from hickoryreach_entry.owner import records
from hickoryreach_entry.owner import requests

log = logging.getLogger(__name__)

REFUSALS_S = 120.0
ANSWERS_LIMIT_BYTES = 16_000_000
WAITING_LIMIT = 50_000
RESULTS = frozenset(map(str, jobs.TaskResult))


class Answers:
    """Answers of requests that the journal does not keep, newest last.

    Attributes:
        notices: Final notices by job id.
        size_bytes: Sum of their answers' sizes.
    """

    def __init__(self) -> None:
        """Creates an empty cache."""
        self.notices: collections.OrderedDict[str, messages.Notice] = (
            collections.OrderedDict()
        )
        self.size_bytes = 0

    def get(self, job_id: str) -> messages.Notice | None:
        """Returns the final notice of a request, if it is kept."""
        return self.notices.get(job_id)

    def put(self, notice: messages.Notice) -> None:
        """Keeps a final notice, and drops the oldest above the limit."""
        self.notices[notice.job_id] = notice
        self.size_bytes += get_size(notice)
        while self.size_bytes > ANSWERS_LIMIT_BYTES:
            _, oldest = self.notices.popitem(last=False)
            self.size_bytes -= get_size(oldest)


def get_size(notice: messages.Notice) -> int:
    """Returns the rough size of a notice, in bytes."""
    return 500 + len(notice.answer or b"")


class Intake:
    """Accepts, refuses and recognizes what entries send.

    Attributes:
        owner: The owner.
        accepting: Jobs whose acceptance is being journaled, with digest.
        refused: Refusals by call id, with their time, the oldest first.
        answers: Answers of requests that the journal does not keep.
    """

    def __init__(self, *, owner) -> None:
        """Creates an intake that has seen nothing."""
        self.owner = owner
        self.accepting: dict[str, str] = {}
        self.refused: collections.OrderedDict = collections.OrderedDict()
        self.answers = Answers()

    def take_envelope(self, envelope: messages.Envelope) -> None:
        """Queues the messages of one entry."""
        sender = envelope.sender
        call = self.owner.call
        for submission in envelope.submissions:
            call(self.take_submission, (sender, submission))
        for query in envelope.queries:
            call(self.take_query, (sender, query))
        for cancellation in envelope.cancellations:
            call(self.take_cancellation, (sender, cancellation))
        for outcome in envelope.outcomes:
            call(self.take_outcome, (sender, outcome))

    def forget(self, now: float) -> None:
        """Forgets old refusals."""
        while self.refused:
            call_id, (at, _) = next(iter(self.refused.items()))
            if now - at < REFUSALS_S:
                return
            del self.refused[call_id]

    def take_submission(self, argument) -> None:
        """Accepts, refuses or recognizes a job."""
        sender, submission = argument
        try:
            job = messages.unpack_job(submission.job)
        except (ValueError, TypeError, AttributeError) as error:
            log.warning(
                "submission_malformed",
                extra={"sender": sender, "error": str(error)},
            )
            return
        self.owner.watchers.setdefault(job.job_id, set()).add(sender)
        if submission.call_id and submission.call_id in self.refused:
            _, notice = self.refused[submission.call_id]
            self.owner.send(sender, "notices", notice)
            return
        digest = self.find_digest(job.job_id)
        if digest is not None:
            self.take_repeat(sender, submission, job, digest)
            return
        refusal = self.find_refusal(job)
        if refusal is not None:
            self.refuse(sender, submission, refusal)
            return
        if job.kind is jobs.Kind.REQUEST:
            self.owner.requests.holders[job.job_id] = sender
        if carriers.is_unjournaled(job):
            self.submit_request(sender, submission, job)
            return
        self.accepting[job.job_id] = job.digest
        self.owner.journal.append(
            records.JobAccepted(job=job),
            lambda kept: self.owner.call(
                self.finish_accept, (sender, job, kept)
            ),
        )

    def submit_request(
        self, sender: str, submission: messages.Submission, job: jobs.Job
    ) -> None:
        """Queues an idempotent request, which leaves no journal record.

        A repeated one waits while an earlier owner's attempt may be running
        unseen; its entry repeats it until then.
        """
        if submission.repeated and not self.owner.roster.cleared:
            return
        self.owner.apply(events.JobSubmitted(job=job, entry=sender))

    def find_digest(self, job_id: str) -> str | None:
        """Returns the digest of a known job, or None."""
        if job_id in self.accepting:
            return self.accepting[job_id]
        record = self.owner.state.jobs.get(job_id)
        if record is not None:
            return record.job.digest
        progress = self.owner.journal.image.jobs.get(job_id)
        if progress is None:
            return None
        if progress.finished is not None:
            return progress.finished.digest
        return progress.job.digest

    def take_repeat(
        self,
        sender: str,
        submission: messages.Submission,
        job: jobs.Job,
        digest: str,
    ) -> None:
        """Answers a submission of a known job."""
        if digest != job.digest:
            self.owner.send(
                sender,
                "notices",
                notices.describe_refusal(
                    job.job_id,
                    submission.call_id,
                    "request_id_reused",
                    "This request id was used with another body.",
                ),
            )
            return
        if job.job_id in self.accepting:
            return
        self.owner.inherited_requests.disown_attempt(sender, submission)
        notice = self.owner.describe(job.job_id)
        if job.kind is jobs.Kind.REQUEST and not (
            jobs.JobState(notice.state).is_final
        ):
            self.owner.requests.holders[job.job_id] = sender
            carriers.repeat_dispatch(self.owner, sender, job)
        self.owner.send(sender, "notices", notice)

    def find_refusal(self, job: jobs.Job) -> admission.Refusal | None:
        """Returns why a new job is not accepted, or None."""
        if not carriers.is_unjournaled(job):
            refusal = self.find_journal_refusal(job)
            if refusal is not None:
                return refusal
        admitted = admission.admit(self.owner.state, job)
        if isinstance(admitted, result.Failure):
            return admitted.failure()
        return None

    def find_journal_refusal(self, job: jobs.Job) -> admission.Refusal | None:
        """Returns why a job can't be kept now, or None."""
        book = self.owner.journal
        if not book.healthy or len(book.waiting) > WAITING_LIMIT:
            return admission.Refusal(
                reason="store_unavailable",
                detail="New work can't be kept now; send it again later.",
            )
        row = records.encode(records.JobAccepted(job=job))
        if len(row) > journal.RECORD_LIMIT_BYTES:
            return admission.Refusal(
                reason="body_too_large",
                detail="Send shorter arguments.",
            )
        return None

    def refuse(
        self,
        sender: str,
        submission: messages.Submission,
        refusal: admission.Refusal,
    ) -> None:
        """Answers a call that was not accepted, and keeps to it."""
        metrics.refusals.labels(refusal.reason).inc()
        notice = notices.describe_refusal(
            submission.job.job_id,
            submission.call_id,
            refusal.reason,
            refusal.detail,
        )
        if submission.call_id:
            self.refused[submission.call_id] = (time.monotonic(), notice)
        self.owner.send(sender, "notices", notice)
        watchers = self.owner.watchers.get(submission.job.job_id)
        if watchers is not None:
            watchers.discard(sender)
            if not watchers:
                del self.owner.watchers[submission.job.job_id]

    def finish_accept(self, argument) -> None:
        """Queues a job whose acceptance is journaled."""
        sender, job, kept = argument
        self.accepting.pop(job.job_id, None)
        if not kept:
            return
        self.owner.tell(
            job.job_id,
            messages.Notice(
                job_id=job.job_id,
                state=str(jobs.JobState.ACCEPTED),
                ran=str(jobs.ExecutionStatus.NOT_RUN),
                tasks=job.tasks,
            ),
        )
        self.owner.apply(events.JobSubmitted(job=job, entry=sender))

    def take_query(self, argument) -> None:
        """Answers with a job's state, and tells of later changes."""
        sender, query = argument
        notice = self.owner.describe(query.job_id)
        if not jobs.JobState(notice.state).is_final:
            self.owner.watchers.setdefault(query.job_id, set()).add(sender)
        self.owner.send(sender, "notices", notice)

    def take_cancellation(self, argument) -> None:
        """Cancels a job or a wave."""
        sender, message = argument
        if message.wave:
            self.owner.apply(
                events.WaveCancelled(
                    workspace=message.workspace, wave=message.wave
                )
            )
            return
        self.owner.watchers.setdefault(message.job_id, set()).add(sender)
        record = self.owner.state.jobs.get(message.job_id)
        if record is not None and record.job.workspace == message.workspace:
            self.owner.apply(events.JobCancelled(job_id=message.job_id))
        self.owner.send(sender, "notices", self.owner.describe(message.job_id))

    def take_outcome(self, argument) -> None:
        """Takes in the end of a dispatched request, once its record is kept.

        An outcome that does not tell whether the minion still serves it is
        believed when the worker no longer lists it.
        """
        sender, message = argument
        job_id = message.job_id
        if message.result not in RESULTS:
            log.warning("outcome_malformed", extra={"sender": sender})
            return
        if job_id in self.owner.requests.inherited:
            self.owner.inherited_requests.restore(
                job_id, requests.END_FOLLOWS_MS
            )
        event = self.build_end(message)
        live = self.owner.requests.live.get(job_id)
        if live is not None and live.key == event.key:
            if event.result is jobs.TaskResult.UNKNOWN:
                if live.unclear is None:
                    live.unclear = event
                    live.unclear_at = time.monotonic()
                    self.owner.roster.wake(live.worker_id)
                return
            event = events.TaskEnded(
                key=live.key,
                worker_id=live.worker_id,
                result=event.result,
                run_ms=event.run_ms,
                status=event.status,
                answer=event.answer,
                reason=event.reason,
            )
        self.owner.apply(event)
        if message.reason == carriers.CALLER_GONE:
            self.owner.apply(events.JobCancelled(job_id=job_id))
        record = self.owner.state.jobs.get(job_id)
        if record is not None and carriers.is_unjournaled(record.job):
            self.confirm_outcome((sender, message))
            return
        self.owner.journal.call_when_kept(
            lambda kept: (
                self.owner.call(self.confirm_outcome, (sender, message))
                if kept
                else None
            )
        )

    def confirm_outcome(self, argument) -> None:
        """Tells an entry that an outcome need not be repeated."""
        sender, message = argument
        self.owner.send(sender, "notices", self.describe_taken(message))

    def build_end(self, message: messages.Outcome) -> events.TaskEnded:
        """Returns the event that an outcome stands for.

        An attempt of an earlier owner goes by the name under which the
        worker's list was taken in.
        """
        key = jobs.TaskKey(
            job_id=message.job_id, index=0, attempt=message.attempt
        )
        if message.term != self.owner.journal.term:
            worker = self.owner.state.workers.get(message.worker_id)
            adopted = jobs.TaskKey(job_id=message.job_id, index=0, attempt=0)
            if worker is not None and adopted in worker.attempts:
                key = adopted
        return events.TaskEnded(
            key=key,
            worker_id=message.worker_id,
            result=jobs.TaskResult(message.result),
            run_ms=message.run_ms,
            status=message.status,
            answer=message.answer,
            reason=message.reason,
        )

    def describe_taken(self, message: messages.Outcome) -> messages.Notice:
        """Returns the notice that an outcome need not be repeated."""
        notice = self.owner.describe(message.job_id)
        known = notice.reason != notices.NOT_FOUND
        return messages.Notice(
            job_id=notice.job_id,
            state=notice.state if known else "",
            ran=notice.ran,
            reason=notice.reason,
            detail=notice.detail,
            status=notice.status,
            answer=notice.answer,
            tasks=notice.tasks,
            taken_attempt=message.attempt,
            taken_term=message.term,
        )
