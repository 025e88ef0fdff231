"""Saving of submitted jobs, directly or through the owner."""

import enum
import logging
import time

import gevent
from returns import result

from hickoryreach.platform import store
from hickoryreach.structure import steps
from hickoryreach.wire import frames
from hickoryreach_entry.cell import owner_client as owner_client_module
from hickoryreach_entry.cell import records

log = logging.getLogger(__name__)

HEDGE_DELAY_S = 0.3
OWNER_SAVE_TIMEOUT_S = 1.0
RETRY_DELAY_S = 0.05


class Outcome(enum.StrEnum):
    """What became of a submitted job.

    Attributes:
        KEPT: It is stored.
        NOT_KEPT: It is not stored and certainly never runs.
        OTHER_WORKSPACE: Its id belongs to a job of another workspace.
        CANCELLED: It was cancelled before it was stored, and never runs.
        UNCLEAR: It may be stored, or may still be.
    """

    KEPT = "kept"
    NOT_KEPT = "not_kept"
    OTHER_WORKSPACE = "other"
    CANCELLED = "cancelled"
    UNCLEAR = "unclear"


class JobSaver:
    """Saves jobs under their ids.

    Attributes:
        owner_client: Client of the cell's owner.
    """

    def __init__(
        self, *, owner_client: owner_client_module.OwnerClient
    ) -> None:
        """Creates a saver."""
        self.owner_client = owner_client

    def save(self, job: steps.Job, deadline: float) -> Outcome:
        """Saves a job, with retries until a deadline.

        Args:
            job: The job.
            deadline: Time on the monotonic clock, in s.
        """
        data = records.encode_job(job)
        uncertain = False
        revision = 0
        self.owner_client.offer(data)
        while True:
            attempt = SaveAttempt(
                owner_client=self.owner_client,
                job_id=job.job_id,
                data=data,
                revision=revision,
            )
            if attempt.run(deadline):
                return Outcome.KEPT
            written = attempt.writing.get()
            if isinstance(written, result.Success):
                self.owner_client.report_stored_job(job.job_id, data)
                return Outcome.KEPT
            failure = written.failure()
            if failure.conflict:
                item = failure.conflict[0]
                found = self.resolve_existing_job(job, item)
                if found is not None:
                    return found
                revision = item.revision
            uncertain = uncertain or attempt.uncertain or failure.effect_unknown
            if self.must_end(deadline):
                return Outcome.UNCLEAR if uncertain else Outcome.NOT_KEPT
            gevent.sleep(RETRY_DELAY_S)

    def find(self, job: steps.Job) -> Outcome:
        """Returns the outcome for a job that may only be stored already."""
        key = records.build_job_key(job.job_id)
        read = self.owner_client.member.client.get(key)
        if isinstance(read, result.Failure):
            return Outcome.UNCLEAR
        found = self.resolve_existing_job(job, read.unwrap())
        return Outcome.NOT_KEPT if found is None else found

    def must_end(self, deadline: float) -> bool:
        """Returns whether no further attempt can help."""
        return (
            time.monotonic() + RETRY_DELAY_S >= deadline
            or self.owner_client.is_isolated()
        )

    def resolve_existing_job(
        self, job: steps.Job, item: store.Item
    ) -> Outcome | None:
        """Returns the outcome for a job whose id is stored already.

        Returns:
            The outcome, or None if the job may replace what is stored: nothing
            any more, or that others have cancelled the id.
        """
        if item.data is None:
            return None
        decoded = records.decode_stored_job(item.data)
        if isinstance(decoded, result.Failure):
            log.error(
                "job_unreadable",
                extra={"job": job.job_id, "reason": decoded.failure()},
            )
            return Outcome.UNCLEAR
        kept = decoded.unwrap()
        if isinstance(kept, records.CancelledId):
            is_cancelled = job.workspace in kept.workspaces
            return Outcome.CANCELLED if is_cancelled else None
        if kept.workspace != job.workspace:
            return Outcome.OTHER_WORKSPACE
        if isinstance(kept, steps.Job):
            self.owner_client.report_stored_job(job.job_id, item.data)
        return Outcome.KEPT


class SaveAttempt:
    """One write of a job, joined by the owner if the store is late.

    Attributes:
        owner_client: Client of the cell's owner.
        data: The encoded job.
        writing: Greenlet of this entry's own write.
        uncertain: Whether a write of the owner may still store the job.
    """

    def __init__(
        self,
        *,
        owner_client: owner_client_module.OwnerClient,
        job_id: str,
        data: bytes,
        revision: int,
    ) -> None:
        """Starts to write the job over what its key holds at a revision."""
        self.owner_client = owner_client
        self.data = data
        self.writing = gevent.spawn(
            owner_client.write_record, job_id, data, revision
        )
        self.uncertain = False

    def run(self, deadline: float) -> bool:
        """Waits for the write; returns whether the owner has stored the job.

        The result of this entry's own write is left in `writing`.
        """
        self.writing.join(HEDGE_DELAY_S)
        if is_settled(self.writing.value) or not self.owner_client.has_owner():
            return False
        via_owner = gevent.spawn(self.save_via_owner, deadline)
        for done in gevent.iwait([self.writing, via_owner]):
            if done is via_owner and done.value is Outcome.KEPT:
                return True
            if done is self.writing and is_settled(done.value):
                break
        self.uncertain = via_owner.value is not Outcome.NOT_KEPT
        return False

    def save_via_owner(self, deadline: float) -> Outcome:
        """Asks the owner to save a job that the store has not confirmed."""
        timeout_s = max(0.1, deadline - time.monotonic())
        report = self.owner_client.call_once(
            min(OWNER_SAVE_TIMEOUT_S, timeout_s),
            "submission",
            frames.Submission(job=self.data, kept=False),
        )
        if report is None or report.unclear:
            return Outcome.UNCLEAR
        kept = report.kept and report.known
        return Outcome.KEPT if kept else Outcome.NOT_KEPT


def is_settled(
    written: result.Result[int, store.StoreFailure] | None,
) -> bool:
    """Returns whether a write has succeeded or met an existing key."""
    if written is None:
        return False
    return isinstance(written, result.Success) or bool(
        written.failure().conflict
    )
