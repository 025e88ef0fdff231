"""Cancellation of jobs, also of those that nobody has handed in yet.

A request that hands a job in may still be under way when the job is cancelled:
at an entry that is paused, at the store, or with a client that repeats it. The
cancellation of an id without a job is therefore stored under the job's key, so
that none of these requests can store the job afterwards.
"""

import dataclasses
import enum
import logging
import time

import gevent
from returns import result

from hickoryreach.platform import store
from hickoryreach.scheduling import state
from hickoryreach.structure import steps
from hickoryreach.wire import frames
from hickoryreach_entry.cell import owner_client as owner_client_module
from hickoryreach_entry.cell import rate_limits
from hickoryreach_entry.cell import records

log = logging.getLogger(__name__)

RETRY_DELAY_S = 0.05


class Outcome(enum.StrEnum):
    """What became of a cancellation.

    Attributes:
        FINAL: The job is in a final state.
        NO_JOB: The caller has no such job, and none can be stored any more.
        REFUSED: Nothing was done, as there were too many of them.
        UNCLEAR: It may have been cancelled, or may still be.
    """

    FINAL = "final"
    NO_JOB = "no_job"
    REFUSED = "refused"
    UNCLEAR = "unclear"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Cancelled:
    """Result of a cancellation.

    Attributes:
        outcome: What became of it.
        final: State of the job if it is in a final one.
    """

    outcome: Outcome
    final: state.JobState | None = None


NO_JOB = Cancelled(outcome=Outcome.NO_JOB)
UNCLEAR = Cancelled(outcome=Outcome.UNCLEAR)


class JobCanceller:
    """Cancels jobs for callers.

    Attributes:
        owner_client: Client of the cell's owner.
        limit: Limit of the cancellations without a job, by workspace.
    """

    def __init__(
        self,
        *,
        owner_client: owner_client_module.OwnerClient,
        limit: rate_limits.RateLimit,
    ) -> None:
        """Creates a canceller."""
        self.owner_client = owner_client
        self.limit = limit

    def cancel(self, job_id: str, workspace: str, deadline: float) -> Cancelled:
        """Cancels a job, with retries until a deadline.

        Args:
            job_id: The job.
            workspace: Workspace of the caller; empty for that of any job.
            deadline: Time on the monotonic clock, in s.
        """
        message = frames.Cancellation(job_id=job_id, workspace=workspace)
        cancelled = self.cancel_known(message, deadline)
        if cancelled is None:
            cancelled = self.cancel_unknown(message, deadline)
        log.info(
            "job_cancellation_handled",
            extra={
                "job": job_id,
                "workspace": workspace,
                "outcome": str(cancelled.outcome),
                "state": cancelled.final or "",
            },
        )
        return cancelled

    def cancel_known(
        self, message: frames.Cancellation, deadline: float
    ) -> Cancelled | None:
        """Cancels a job that the owner knows; returns None if it doesn't."""
        report = self.owner_client.call(deadline, "cancellation", message)
        if report is None:
            return UNCLEAR
        if not report.known:
            return None
        return Cancelled(
            outcome=Outcome.FINAL, final=state.JobState(report.state)
        )

    def cancel_unknown(
        self, message: frames.Cancellation, deadline: float
    ) -> Cancelled:
        """Stores that an id is cancelled, unless its job is stored already."""
        if not self.limit.consume(message.workspace):
            return Cancelled(outcome=Outcome.REFUSED)
        attempt = records.CancelledId(workspaces=(message.workspace,))
        revision = 0
        while time.monotonic() < deadline:
            written = self.owner_client.write_record(
                message.job_id, records.encode_cancelled_id(attempt), revision
            )
            if isinstance(written, result.Success):
                return NO_JOB
            conflict = written.failure().conflict
            if conflict is None:
                gevent.sleep(RETRY_DELAY_S)
                continue
            item = conflict[0]
            found = self.decode(item)
            if not isinstance(found, records.CancelledId):
                return self.cancel_stored(message, item, found, deadline)
            if message.workspace in found.workspaces:
                return NO_JOB
            attempt = found.add(message.workspace)
            revision = item.revision
        return UNCLEAR

    def decode(self, item: store.Item) -> records.StoredRecord | None:
        """Returns what the store holds under an id, or None if unreadable.

        A key that is gone meanwhile holds no cancellation.
        """
        if item.data is None:
            return records.CancelledId(workspaces=())
        decoded = records.decode_stored_job(item.data)
        if isinstance(decoded, result.Failure):
            log.error(
                "job_unreadable",
                extra={"key": item.key, "reason": decoded.failure()},
            )
            return None
        return decoded.unwrap()

    def cancel_stored(
        self,
        message: frames.Cancellation,
        item: store.Item,
        found: steps.Job | records.FinalRecord | None,
        deadline: float,
    ) -> Cancelled:
        """Cancels a stored job that the owner did not know.

        A job of another workspace is none for the caller, and keeps the
        caller's own from being stored.
        """
        if found is None:
            return UNCLEAR
        if message.workspace and found.workspace != message.workspace:
            return NO_JOB
        if isinstance(found, records.FinalRecord):
            return Cancelled(outcome=Outcome.FINAL, final=found.final)
        self.owner_client.report_stored_job(message.job_id, item.data)
        gevent.sleep(RETRY_DELAY_S)
        return self.cancel_known(message, deadline) or UNCLEAR
