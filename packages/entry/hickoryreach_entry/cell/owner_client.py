"""Client of the cell's owner for the requests of an entry's callers."""

import time

import gevent
from returns import result

from hickoryreach.platform import store
from hickoryreach.wire import frames
from hickoryreach_entry.cell import election as election_module
from hickoryreach_entry.cell import records

CALL_TIMEOUT_S = 1.0
ISOLATION_DELAY_S = 0.25
CALL_RETRY_DELAY_S = 0.05
REPORT_INTERVAL_S = 0.1


class OwnerClient:
    """Calls the owner, whether it runs in this entry or in another.

    Attributes:
        member: This entry as a member of the cell.
        election: Election that follows the owner.
        unconfirmed_jobs: Stored jobs that no owner has confirmed yet, by id.
    """

    def __init__(self, *, member, election: election_module.Election) -> None:
        """Creates a client without unconfirmed jobs."""
        self.member = member
        self.election = election
        self.unconfirmed_jobs: dict[str, bytes] = {}

    def offer(self, data: bytes) -> None:
        """Notifies the owner of a job that is about to be stored."""
        message = frames.Submission(job=data, offered=True)
        if self.member.owner is not None:
            self.member.submit_locally(message)
        elif self.election.owner_channel is not None:
            self.election.owner_channel.send(submission=message)

    def report_stored_job(self, job_id: str, data: bytes) -> None:
        """Reports a stored job to the owner until it has confirmed it."""
        self.unconfirmed_jobs[job_id] = data
        gevent.spawn(self.report_stored_job_once, job_id, data)

    def report_stored_job_once(self, job_id: str, data: bytes) -> None:
        """Reports one stored job to the owner once."""
        report = self.call_once(
            CALL_TIMEOUT_S, "submission", frames.Submission(job=data)
        )
        if report is not None and report.kept:
            self.unconfirmed_jobs.pop(job_id, None)

    def report_stored_jobs_forever(self) -> None:
        """Reports unconfirmed jobs to the owner again at regular intervals."""
        while True:
            gevent.sleep(REPORT_INTERVAL_S)
            if not self.unconfirmed_jobs or not self.has_owner():
                continue
            for job_id, data in list(self.unconfirmed_jobs.items()):
                self.report_stored_job_once(job_id, data)

    def has_owner(self) -> bool:
        """Returns whether the owner runs in this entry or is followed by it."""
        return self.member.owner is not None or self.election.is_following()

    def write_record(
        self, job_id: str, data: bytes, revision: int = 0
    ) -> result.Result[int, store.StoreFailure]:
        """Tries once to store a job, or that its id is cancelled.

        Args:
            job_id: The job.
            data: The value of its key.
            revision: Revision that the key must have; 0 if it must not exist.
        """
        key = records.build_job_key(job_id)
        return self.member.client.write(
            puts=(store.Put(key=key, data=data),), expected=((key, revision),)
        )

    def is_isolated(self) -> bool:
        """Returns whether neither the store nor an owner serves this entry.

        While the store fails for all entries, they still hear the owner, and
        the owner hears its followers.
        """
        now = time.monotonic()
        since = self.member.client.health.failing_since
        if not since or now - since < ISOLATION_DELAY_S:
            return False
        owner = self.member.owner
        if owner is not None:
            return not owner.ownership_validity.quorum.hears_majority()
        return not self.election.is_following()

    def call_once(
        self, timeout_s: float, field: str, message: object
    ) -> frames.JobReport | None:
        """Calls the owner once.

        Args:
            timeout_s: Longest time to wait for the answer, in s.
            field: Field of the frame.
            message: Content of the field.

        Returns:
            The answer, or None if none arrived in time.
        """
        if self.member.owner is not None:
            local_calls = {
                "submission": self.member.submit_locally,
                "query": self.member.query_locally,
                "cancellation": self.member.cancel_locally,
            }
            return local_calls[field](message)
        if self.election.owner_channel is None:
            return None
        return self.election.owner_channel.call(timeout_s, **{field: message})

    def call(
        self, deadline: float, field: str, message: object
    ) -> frames.JobReport | None:
        """Calls the owner until it answers or a deadline passes.

        Args:
            deadline: Time on the monotonic clock, in s.
            field: Field of the frame.
            message: Content of the field.

        Returns:
            The answer, or None if the deadline has passed.
        """
        while True:
            left_s = deadline - time.monotonic()
            if left_s <= 0:
                return None
            report = self.call_once(min(left_s, CALL_TIMEOUT_S), field, message)
            if report is not None and report.kept:
                return report
            gevent.sleep(min(CALL_RETRY_DELAY_S, left_s))

    def get_job_bytes(self) -> int:
        """Returns what jobs take of the owner's memory, 0 if not known."""
        if self.member.owner is not None:
            return self.member.owner.published_states.held_bytes
        return self.election.last_status.job_bytes

    def get_pending(self, queue: str, limit_s: float) -> int | None:
        """Returns the number of jobs in a queue without a started task.

        Args:
            queue: Name of the queue.
            limit_s: Maximum age of a count reported by the owner, in s.

        Returns:
            The number, or None if no count is recent enough.
        """
        if self.member.owner is not None and self.member.owner.serving:
            counts = self.member.owner.published_states.count_pending()
        else:
            last = self.election.last_status
            if time.monotonic() - last.pending_received_at > limit_s:
                return None
            counts = last.pending
        return counts.get(queue, 0)
