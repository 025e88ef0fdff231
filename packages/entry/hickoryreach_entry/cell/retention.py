"""Removal of stored data whose retention period is over."""

import collections
from collections.abc import Callable
import logging
import time

import gevent
from returns import result

from hickoryreach.platform import store
from hickoryreach_entry.cell import ownership_scope
from hickoryreach_entry.cell import progress as progress_module
from hickoryreach_entry.cell import records

log = logging.getLogger(__name__)

RETENTION_MARGIN_S = 10
MAX_KEYS_PER_REMOVAL = store.TRANSACTION_LIMIT - 2
REMOVAL_INTERVAL_S = 2.0
RETRY_S = 1.0


class Retention:
    """Removes the progress of finished jobs, and jobs after their retention.

    A part of the progress is needed until each of its jobs is stored in its
    final state.

    Attributes:
        finals: Ids of finished jobs with the time at which each became final,
            on the monotonic clock in s, oldest first.
        stored_jobs: Jobs that are stored in their final state.
        parts: By the key of each needed part, its jobs that are not stored in
            their final state yet.
        parts_by_job: Keys of the needed parts by job.
        removable: Keys to remove from the store.
        removed_at: When keys were last removed, on the monotonic clock in s.
        removing: Whether a removal is in progress.
    """

    def __init__(
        self,
        *,
        scope: ownership_scope.OwnershipScope,
        client: store.Store,
        progress: progress_module.ProgressWriter,
        retention_s: int,
        on_expired: Callable[[str], None],
    ) -> None:
        """Subscribes to the progress; nothing is removable yet.

        Args:
            scope: The ownership.
            client: The store.
            progress: Progress of the ownership; its revision guards removals.
            retention_s: How long a finished job's state is retained, in s.
            on_expired: Called with each job whose retention is over.
        """
        self.scope = scope
        self.client = client
        self.progress = progress
        self.retention_s = retention_s
        self.on_expired = on_expired
        self.finals: collections.deque[tuple[float, str]] = collections.deque()
        self.stored_jobs: set[str] = set()
        self.parts: dict[str, set[str]] = {}
        self.parts_by_job: dict[str, set[str]] = {}
        self.removable: list[str] = []
        self.removed_at = 0.0
        self.removing = False
        progress.on_part = self.record_part
        progress.on_final = self.mark_stored

    def record_part(self, key: str, rows: list[records.Row]) -> None:
        """Records the jobs of a part of the progress.

        A part whose jobs are all stored in their final state is removable.
        """
        unfinished = {row.job_id for row in rows} - self.stored_jobs
        if not unfinished:
            self.removable.append(key)
            return
        self.parts[key] = unfinished
        for job_id in unfinished:
            self.parts_by_job.setdefault(job_id, set()).add(key)

    def mark_stored(self, job_id: str) -> None:
        """Records that a job is stored in its final state.

        Parts that no other job needs become removable.
        """
        self.stored_jobs.add(job_id)
        for key in self.parts_by_job.pop(job_id, set()):
            unfinished = self.parts[key]
            unfinished.discard(job_id)
            if not unfinished:
                del self.parts[key]
                self.removable.append(key)

    def record_final(self, job_id: str, now: float) -> None:
        """Starts the retention period of a job.

        Args:
            job_id: The job, whose final state was published.
            now: Time of the publication, on the monotonic clock in s.
        """
        self.finals.append((now, job_id))

    def run(self, now: float) -> None:
        """Ends retention periods that are over, and removes what is due.

        The removal runs in the background.

        Args:
            now: Present time on the monotonic clock, in s.
        """
        oldest_retained_at = now - self.retention_s - RETENTION_MARGIN_S
        while self.finals and self.finals[0][0] < oldest_retained_at:
            _, job_id = self.finals.popleft()
            self.mark_stored(job_id)
            self.stored_jobs.discard(job_id)
            self.on_expired(job_id)
            self.removable.append(records.build_job_key(job_id))
        due = (
            len(self.removable) >= MAX_KEYS_PER_REMOVAL
            or now - self.removed_at > REMOVAL_INTERVAL_S
        )
        if self.removable and due and not self.removing:
            self.removing = True
            self.scope.spawn(self.remove)

    def remove(self) -> None:
        """Removes one batch of keys from the store."""
        try:
            batch = self.removable[:MAX_KEYS_PER_REMOVAL]
            written = self.client.write(
                removed=tuple(batch),
                expected=((records.OWNER_KEY, self.progress.revision),),
            )
            if isinstance(written, result.Success):
                del self.removable[: len(batch)]
                self.removed_at = time.monotonic()
            else:
                log.warning(
                    "store_removal_failed",
                    extra={"reason": written.failure().reason},
                )
                gevent.sleep(RETRY_S)
        finally:
            self.removing = False
