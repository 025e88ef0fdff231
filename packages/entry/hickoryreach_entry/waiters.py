"""Callers who wait for news of a job."""

import dataclasses

from gevent import event as gevent_event

from hickoryreach.structure import jobs
from hickoryreach.wire import messages
from hickoryreach_entry import dispatches
from hickoryreach_entry import minions


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
    held: dispatches.Held | None = None
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
