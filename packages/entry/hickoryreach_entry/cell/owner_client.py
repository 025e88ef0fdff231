"""What an entry asks the owner of the cell for its callers."""

import time

import gevent
from returns import result

from hickoryreach.platform import store
from hickoryreach.wire import frames
from hickoryreach_entry.cell import election as election_module
from hickoryreach_entry.cell import records

CALL_TIMEOUT_S = 1.0
CUT_OFF_S = 0.25
CALL_RETRY_S = 0.05
ANNOUNCE_S = 0.1


class OwnerClient:
    """Speaks to the owner, wherever it is.

    Attributes:
        member: This entry as a member of the cell.
        unconfirmed_jobs: Kept jobs that no owner has confirmed yet, by id.
    """

    def __init__(self, *, member, election: election_module.Election) -> None:
        """Creates a desk."""
        self.member = member
        self.election = election
        self.unconfirmed_jobs: dict[str, bytes] = {}

    def offer(self, data: bytes) -> None:
        """Tells the owner of a job that is about to be kept."""
        message = frames.Submission(job=data, offered=True)
        if self.member.owner is not None:
            self.member.submit_locally(message)
        elif self.election.owner_channel is not None:
            self.election.owner_channel.send(submission=message)

    def report_stored_job(self, job_id: str, data: bytes) -> None:
        """Tells the owner of a kept job, until it has confirmed."""
        self.unconfirmed_jobs[job_id] = data
        gevent.spawn(self.report_stored_job_once, job_id, data)

    def report_stored_job_once(self, job_id: str, data: bytes) -> None:
        """Tells the owner of one kept job."""
        report = self.call_once(
            CALL_TIMEOUT_S, "submission", frames.Submission(job=data)
        )
        if report is not None and report.kept:
            self.unconfirmed_jobs.pop(job_id, None)

    def report_stored_jobs_forever(self) -> None:
        """Tells the owner again of what it has not confirmed."""
        while True:
            gevent.sleep(ANNOUNCE_S)
            if not self.unconfirmed_jobs or not self.has_owner():
                continue
            for job_id, data in list(self.unconfirmed_jobs.items()):
                self.report_stored_job_once(job_id, data)

    def has_owner(self) -> bool:
        """Returns whether there is an owner to speak to."""
        return self.member.owner is not None or self.election.is_following()

    def write_job(
        self, job_id: str, data: bytes
    ) -> result.Result[int, store.StoreFailure]:
        """Tries once to keep a job that is not kept yet."""
        key = records.build_job_key(job_id)
        return self.member.client.write(
            puts=(store.Put(key=key, data=data),), expected=((key, 0),)
        )

    def is_isolated(self) -> bool:
        """Returns whether neither the store nor an owner serves this entry.

        While the store is away for all, entries still hear an owner, and an
        owner its followers.
        """
        now = time.monotonic()
        since = self.member.client.health.failing_since
        if not since or now - since < CUT_OFF_S:
            return False
        owner = self.member.owner
        if owner is not None:
            return not owner.ownership_validity.is_heard(now)
        return not self.election.is_following()

    def call_once(
        self, timeout_s: float, field: str, message: object
    ) -> frames.JobReport | None:
        """Asks the owner once; None without an answer."""
        if self.member.owner is not None:
            here = {
                "submission": self.member.submit_locally,
                "query": self.member.query_locally,
                "cancellation": self.member.cancel_locally,
            }
            return here[field](message)
        if self.election.owner_channel is None:
            return None
        return self.election.owner_channel.call(timeout_s, **{field: message})

    def ask(
        self, deadline: float, field: str, message: object
    ) -> frames.JobReport | None:
        """Asks the owner until it answers or a deadline passes.

        Args:
            deadline: Time on the steady clock, in s.
            field: Field of the frame.
            message: The message.
        """
        while True:
            left_s = deadline - time.monotonic()
            if left_s <= 0:
                return None
            report = self.call_once(min(left_s, CALL_TIMEOUT_S), field, message)
            if report is not None and report.kept:
                return report
            gevent.sleep(min(CALL_RETRY_S, left_s))

    def get_pending(self, queue: str, limit_s: float) -> int | None:
        """Returns the jobs of a queue none of whose tasks has started.

        None when nothing as young as `limit_s` is known.
        """
        if self.member.owner is not None and self.member.owner.serving:
            counts = self.member.owner.published_states.count_pending()
        elif time.monotonic() - self.election.pending_received_at <= limit_s:
            counts = self.election.pending
        else:
            return None
        return counts.get(queue, 0)
