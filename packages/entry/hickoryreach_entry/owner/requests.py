"""Requests that entries carry to minions on behalf of one owner.

Requests have no lease. What is known of one in flight comes from its entry,
which reports the outcome, and from its worker, which lists the requests that
its minion is serving.
"""

from collections.abc import Iterator
import dataclasses

from hickoryreach.decisions import effects
from hickoryreach.decisions import events
from hickoryreach.structure import jobs
from hickoryreach_entry.owner import image as journal_image
from hickoryreach_entry.owner import link
from hickoryreach_entry.owner import records

OUTCOME_GRACE_S = 5.0
HOLDER_GRACE_S = 5.0
END_FOLLOWS_MS = 100
DEFAULT_TIMEOUT_S = 30.0


@dataclasses.dataclass(kw_only=True, slots=True)
class Dispatched:
    """One attempt handed to an entry.

    Attributes:
        key: The attempt.
        worker_id: Worker whose minion answers.
        entry: Entry that carries it.
        valid_until: Time, in s, after which it is not sent any more.
        limit: Time, in s, by which its entry has given up.
        adopted: Whether an earlier owner handed it out.
        unclear: Outcome that does not tell whether it still runs.
        unclear_at: When that outcome came, in s.
    """

    key: jobs.TaskKey
    worker_id: str
    entry: str
    valid_until: float
    limit: float
    adopted: bool = False
    unclear: events.TaskEnded | None = None
    unclear_at: float = 0.0

    def is_gone(self, worker_link: link.WorkerLink) -> bool:
        """Returns whether the worker's last list rules it out."""
        asked = worker_link.replied_sent
        if self.key.job_id in worker_link.requests:
            return False
        if self.unclear is not None:
            return asked > self.unclear_at
        return asked > self.valid_until + OUTCOME_GRACE_S


@dataclasses.dataclass(kw_only=True, slots=True)
class Inherited:
    """A non-idempotent request that an earlier owner may have handed out.

    Attributes:
        progress: What the journal tells of it.
        intent: The attempt whose intent is journaled.
    """

    progress: journal_image.Progress
    intent: records.IntentRecorded


class Requests:
    """The attempts in flight.

    Attributes:
        live: Attempts by job id.
        by_worker: The same by worker, then by job id.
        inherited: Jobs not restored yet, by id.
        holders: Entry that holds the newest caller, by job id.
        unheld: Dispatches that wait for an entry to hold a caller, with the
            time, in s, since when.
    """

    def __init__(self) -> None:
        """Creates an empty set."""
        self.live: dict[str, Dispatched] = {}
        self.by_worker: dict[str, dict[str, Dispatched]] = {}
        self.inherited: dict[str, Inherited] = {}
        self.holders: dict[str, str] = {}
        self.unheld: dict[str, tuple[effects.DispatchRequest, float]] = {}

    def name(self, job_id: str) -> jobs.TaskKey:
        """Returns the attempt under which a listed request is known.

        One that an earlier owner handed out without a journaled intent gets
        the attempt number 0.
        """
        if job_id in self.live:
            return self.live[job_id].key
        if job_id in self.inherited:
            return self.inherited[job_id].intent.key
        return jobs.TaskKey(job_id=job_id, index=0, attempt=0)

    def adopt(self, inherited: Inherited, now: float) -> None:
        """Follows an attempt of an earlier owner like one's own."""
        intent = inherited.intent
        self.add(
            Dispatched(
                key=intent.key,
                worker_id=intent.worker_id,
                entry=intent.entry,
                valid_until=now,
                limit=now + get_timeout_s(inherited.progress.job),
                adopted=True,
            )
        )

    def add(self, dispatched: Dispatched) -> None:
        """Follows an attempt, in place of an earlier one of its job."""
        job_id = dispatched.key.job_id
        if job_id in self.live:
            self.drop(self.live[job_id])
        self.live[job_id] = dispatched
        group = self.by_worker.setdefault(dispatched.worker_id, {})
        group[job_id] = dispatched

    def drop(self, dispatched: Dispatched) -> None:
        """Follows an attempt no more."""
        del self.live[dispatched.key.job_id]
        group = self.by_worker[dispatched.worker_id]
        del group[dispatched.key.job_id]
        if not group:
            del self.by_worker[dispatched.worker_id]

    def settle(self, key: jobs.TaskKey) -> None:
        """Forgets an attempt that has ended."""
        live = self.live.get(key.job_id)
        if live is not None and live.key == key:
            self.drop(live)

    def is_used(self, worker_id: str, now: float) -> bool:
        """Returns whether a request may still run at a worker's minion."""
        return any(
            now < each.limit
            for each in self.by_worker.get(worker_id, {}).values()
        )

    def list_gone(
        self, worker_link: link.WorkerLink
    ) -> Iterator[events.TaskEnded]:
        """Yields the end of each attempt that a worker's list rules out."""
        worker_id = worker_link.worker.worker_id
        for each in list(self.by_worker.get(worker_id, {}).values()):
            if each.is_gone(worker_link):
                yield end_unclear(each)

    def list_overdue(self, now: float) -> Iterator[events.TaskEnded]:
        """Yields the end of each attempt whose entry must have given up."""
        for each in list(self.live.values()):
            if now > each.limit:
                yield end_unclear(each)


def end_unclear(dispatched: Dispatched) -> events.TaskEnded:
    """Returns the end of an attempt that nobody can tell the result of."""
    if dispatched.unclear is not None:
        return dispatched.unclear
    return events.TaskEnded(
        key=dispatched.key,
        worker_id=dispatched.worker_id,
        result=jobs.TaskResult.UNKNOWN,
        reason="no outcome reported",
    )


def get_timeout_s(job: jobs.Job) -> float:
    """Returns how long an entry waits for a minion's answer, in s."""
    return job.timeout_ms / 1000 or DEFAULT_TIMEOUT_S
