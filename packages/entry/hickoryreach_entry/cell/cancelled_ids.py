"""Removal of cancelled ids without a job from the store."""

import logging
import time

import gevent
from returns import result

from hickoryreach.platform import store
from hickoryreach_entry.cell import ownership_scope
from hickoryreach_entry.cell import records

log = logging.getLogger(__name__)

RETENTION_MARGIN_S = 10
RETRY_S = 1.0
MAX_IDS_PER_REMOVAL = (store.TRANSACTION_LIMIT - 2) // 2


class CancelledIds:
    """Removes the records of cancelled ids after their retention.

    Such a record may be replaced by a job of another workspace, so that it is
    removed only at the revision at which it was seen.

    Attributes:
        seen: Revision of each record and when it was first seen, on the
            monotonic clock in s, by id; the oldest first.
        removing: Whether a removal is in progress.
    """

    def __init__(
        self,
        *,
        scope: ownership_scope.OwnershipScope,
        client: store.Store,
        owner_revision: int,
        retention_s: int,
    ) -> None:
        """Creates an instance that knows no record.

        Args:
            scope: The ownership.
            client: The store.
            owner_revision: Revision of the owner's key; every removal requires
                that the key still has it.
            retention_s: How long a record is stored, in s.
        """
        self.scope = scope
        self.client = client
        self.owner_revision = owner_revision
        self.retention_s = retention_s
        self.seen: dict[str, tuple[int, float]] = {}
        self.removing = False

    def record(self, job_id: str, revision: int) -> None:
        """Records that the store holds a cancelled id at a revision."""
        known, _ = self.seen.get(job_id, (0, 0.0))
        if revision != known:
            self.seen.pop(job_id, None)
            self.seen[job_id] = (revision, time.monotonic())

    def run(self, now: float) -> None:
        """Removes records whose retention is over, in the background.

        Args:
            now: Present time on the monotonic clock, in s.
        """
        if self.removing or not self.list_expired(now):
            return
        self.removing = True
        self.scope.spawn(self.remove)

    def list_expired(self, now: float) -> dict[str, int]:
        """Returns ids to remove at once, with the revisions of their keys."""
        expired: dict[str, int] = {}
        horizon = now - self.retention_s - RETENTION_MARGIN_S
        for job_id, (revision, seen_at) in self.seen.items():
            if seen_at >= horizon or len(expired) == MAX_IDS_PER_REMOVAL:
                break
            expired[records.build_job_key(job_id)] = revision
        return expired

    def remove(self) -> None:
        """Removes one batch of records.

        Those that have been replaced or removed meanwhile are dropped here.
        """
        try:
            expired = self.list_expired(time.monotonic())
            written = self.client.write(
                removed=tuple(expired),
                expected=(
                    (records.OWNER_KEY, self.owner_revision),
                    *expired.items(),
                ),
            )
            if isinstance(written, result.Success):
                self.drop(expired)
                return
            failure = written.failure()
            log.warning(
                "cancelled_ids_removal_failed",
                extra={"ids": len(expired), "reason": failure.reason},
            )
            for item in failure.conflict or ():
                if expired.get(item.key, item.revision) != item.revision:
                    self.drop({item.key: item.revision})
            gevent.sleep(RETRY_S)
        finally:
            self.removing = False

    def drop(self, keys: dict[str, int]) -> None:
        """Forgets ids by the keys of their records."""
        for key in keys:
            self.seen.pop(key.removeprefix(records.JOBS_PREFIX), None)
