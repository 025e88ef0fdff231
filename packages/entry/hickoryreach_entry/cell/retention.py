"""Forgets finished jobs, here and in the store, when their time is over."""

import collections
import logging

import gevent
from returns import result

from hickoryreach.platform import store
from hickoryreach.scheduling import state
from hickoryreach_entry.cell import progress as progress_module
from hickoryreach_entry.cell import records

log = logging.getLogger(__name__)

MARGIN_S = 10
KEYS_AT_ONCE = store.TRANSACTION_LIMIT - 2


class Retention:
    """Removes jobs and the progress that only concerns removed ones.

    Attributes:
        finals: When each final job became final, in s.
        parts: Jobs that each part of the progress still concerns.
        removable: Keys to remove from the store.
    """

    def __init__(
        self,
        *,
        client: store.Store,
        progress: progress_module.Progress,
        keep_s: int,
    ) -> None:
        """Creates a retention that has nothing to remove."""
        self.client = client
        self.progress = progress
        self.keep_s = keep_s
        self.finals: collections.deque[tuple[float, str]] = collections.deque()
        self.parts: dict[str, set[str]] = {}
        self.by_job: dict[str, set[str]] = {}
        self.removable: list[str] = []
        self.removing = False
        progress.on_part = self.note_part

    def note_part(self, key: str, rows: list[records.Row]) -> None:
        """Notes which jobs a part of the progress concerns."""
        self.parts[key] = {row.job_id for row in rows}
        for row in rows:
            self.by_job.setdefault(row.job_id, set()).add(key)

    def note_final(self, job_id: str, now: float) -> None:
        """Notes that a job has become final."""
        self.finals.append((now, job_id))

    def run(
        self,
        cell: state.CellState,
        visible: dict[str, state.JobState],
        now: float,
    ) -> None:
        """Forgets what is due, and removes it in the background."""
        horizon = now - self.keep_s - MARGIN_S
        while self.finals and self.finals[0][0] < horizon:
            _, job_id = self.finals.popleft()
            self.forget(cell, visible, job_id)
        if self.removable and not self.removing:
            self.removing = True
            gevent.spawn(self.remove)

    def forget(
        self,
        cell: state.CellState,
        visible: dict[str, state.JobState],
        job_id: str,
    ) -> None:
        """Forgets one job and the parts that concerned only it."""
        cell.jobs.pop(job_id, None)
        visible.pop(job_id, None)
        self.removable.append(records.name_job(job_id))
        self.removable.append(records.name_state(job_id))
        for key in self.by_job.pop(job_id, set()):
            left = self.parts.get(key)
            if left is not None:
                left.discard(job_id)
                if not left:
                    del self.parts[key]
                    self.removable.append(key)

    def remove(self) -> None:
        """Removes keys from the store, jobs before their progress."""
        try:
            batch = self.removable[:KEYS_AT_ONCE]
            written = self.client.write(
                removed=tuple(batch),
                expected=((records.OWNER_KEY, self.progress.revision),),
            )
            if isinstance(written, result.Success):
                del self.removable[: len(batch)]
            else:
                log.warning(
                    "removal_failed",
                    extra={"reason": written.failure().reason},
                )
                gevent.sleep(1.0)
        finally:
            self.removing = False
