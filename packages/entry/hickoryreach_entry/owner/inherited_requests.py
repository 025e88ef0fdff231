"""Non-idempotent requests that an earlier owner may have handed out."""

import time

from hickoryreach.decisions import events
from hickoryreach.structure import jobs
from hickoryreach.wire import messages
from hickoryreach_entry import clock
from hickoryreach_entry.owner import image as journal_image
from hickoryreach_entry.owner import records
from hickoryreach_entry.owner import recovery
from hickoryreach_entry.owner import requests


class InheritedRequests:
    """Takes requests over once their attempt is accounted for.

    Attributes:
        owner: The owner.
    """

    def __init__(self, *, owner) -> None:
        """Creates the handler of an owner's inherited requests."""
        self.owner = owner

    def keep(self, progress: journal_image.Progress) -> bool:
        """Keeps a job back whose attempt is open; returns whether it did."""
        intent = find_intent(progress)
        if intent is None:
            return False
        self.owner.requests.inherited[intent.key.job_id] = requests.Inherited(
            progress=progress, intent=intent
        )
        return True

    def restore(self, job_id: str, hold_ms: int = 0) -> None:
        """Takes over a non-idempotent request whose attempt is accounted for.

        The reducer adopts it when its worker lists it, settles it with the
        end that follows within `hold_ms`, or calls its outcome unknown.
        """
        inherited = self.owner.requests.inherited.pop(job_id, None)
        if inherited is None:
            return
        self.owner.requests.adopt(inherited, time.monotonic())
        self.owner.apply(
            recovery.restore_job(inherited.progress, clock.now_ms() + hold_ms)
        )

    def disown_attempt(
        self, sender: str, submission: messages.Submission
    ) -> None:
        """Takes an inherited attempt as not run, on its entry's word.

        The entry that was to send it has not, and takes no dispatch of an
        earlier term any more.
        """
        inherited = self.owner.requests.inherited.get(submission.job.job_id)
        if inherited is None or inherited.intent.entry != sender:
            return
        if submission.sent or submission.barrier < self.owner.journal.term:
            return
        self.restore(submission.job.job_id, requests.END_FOLLOWS_MS)
        self.owner.apply(
            events.TaskEnded(
                key=inherited.intent.key,
                worker_id=inherited.intent.worker_id,
                result=jobs.TaskResult.NOT_RUN,
                reason="never sent",
            )
        )

    def review(self, now: float) -> None:
        """Takes over inherited requests once their attempt is accounted for.

        One that its worker lists is adopted. One that it does not list has
        ended or was never sent, so its entry gets some time to report.
        """
        roster = self.owner.roster
        for job_id, inherited in list(self.owner.requests.inherited.items()):
            progress = inherited.progress
            worker_link = roster.links.get(inherited.intent.worker_id)
            joined = worker_link is not None and worker_link.joined
            listed = joined and job_id in worker_link.requests
            since = roster.taken_at + requests.OUTCOME_GRACE_S
            if not joined:
                since = roster.get_hold_end() + requests.get_timeout_s(
                    progress.job
                )
            if listed or (roster.cleared and now > since):
                self.restore(job_id)


def find_intent(
    progress: journal_image.Progress,
) -> records.IntentRecorded | None:
    """Returns the open attempt of a non-idempotent request, if any."""
    if progress.job.kind is not jobs.Kind.REQUEST or progress.job.idempotent:
        return None
    return progress.intents.get(0)
