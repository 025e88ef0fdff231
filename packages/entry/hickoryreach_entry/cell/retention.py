"""Removes from the store what no longer has to be kept there."""

import collections
from collections.abc import Callable
import logging
import time

import gevent
from returns import result

from hickoryreach.platform import store
from hickoryreach_entry.cell import progress as progress_module
from hickoryreach_entry.cell import records

log = logging.getLogger(__name__)

MARGIN_S = 10
KEYS_AT_ONCE = store.TRANSACTION_LIMIT - 2
REMOVE_EACH_S = 2.0
RETRY_S = 1.0


class Retention:
    """Removes progress of finished jobs, and jobs whose time is over.

    A part of the progress is needed for as long as one of its jobs is not
    kept in its final state.

    Attributes:
        finals: When each final job became final, in s.
        settled: Jobs that are kept in their final state.
        parts: Jobs that each part of the progress still concerns.
        by_job: Parts that concern each of these jobs.
        removable: Keys to remove from the store.
        removed_at: When keys were last removed, in s.
    """

    def __init__(
        self,
        *,
        client: store.Store,
        progress: progress_module.ProgressWriter,
        keep_s: int,
        on_forgotten: Callable[[str], None],
    ) -> None:
        """Creates a retention that has nothing to remove."""
        self.client = client
        self.progress = progress
        self.keep_s = keep_s
        self.on_forgotten = on_forgotten
        self.finals: collections.deque[tuple[float, str]] = collections.deque()
        self.stored_jobs: set[str] = set()
        self.parts: dict[str, set[str]] = {}
        self.by_job: dict[str, set[str]] = {}
        self.removable: list[str] = []
        self.removed_at = 0.0
        self.removing = False
        progress.on_part = self.record_part
        progress.on_final = self.mark_stored

    def record_part(self, key: str, rows: list[records.Row]) -> None:
        """Notes which jobs a part of the progress concerns."""
        concerned = {row.job_id for row in rows} - self.stored_jobs
        if not concerned:
            self.removable.append(key)
            return
        self.parts[key] = concerned
        for job_id in concerned:
            self.by_job.setdefault(job_id, set()).add(key)

    def mark_stored(self, job_id: str) -> None:
        """Notes that a job is kept in its final state."""
        self.stored_jobs.add(job_id)
        for key in self.by_job.pop(job_id, set()):
            left = self.parts[key]
            left.discard(job_id)
            if not left:
                del self.parts[key]
                self.removable.append(key)

    def record_final(self, job_id: str, now: float) -> None:
        """Notes that callers may be told of a job's final state."""
        self.finals.append((now, job_id))

    def run(self, now: float) -> None:
        """Forgets what is due, and removes it in the background."""
        horizon = now - self.keep_s - MARGIN_S
        while self.finals and self.finals[0][0] < horizon:
            _, job_id = self.finals.popleft()
            self.mark_stored(job_id)
            self.stored_jobs.discard(job_id)
            self.on_forgotten(job_id)
            self.removable.append(records.build_job_key(job_id))
        due = (
            len(self.removable) >= KEYS_AT_ONCE
            or now - self.removed_at > REMOVE_EACH_S
        )
        if self.removable and due and not self.removing:
            self.removing = True
            gevent.spawn(self.remove)

    def remove(self) -> None:
        """Removes keys from the store."""
        try:
            batch = self.removable[:KEYS_AT_ONCE]
            written = self.client.write(
                removed=tuple(batch),
                expected=((records.OWNER_KEY, self.progress.revision),),
            )
            if isinstance(written, result.Success):
                del self.removable[: len(batch)]
                self.removed_at = time.monotonic()
            else:
                log.warning(
                    "removal_failed",
                    extra={"reason": written.failure().reason},
                )
                gevent.sleep(RETRY_S)
        finally:
            self.removing = False
