"""Jobs that entries have stored, as the owner learns of them."""

from collections.abc import Callable
import time

from hickoryreach.platform import store
from hickoryreach.structure import steps
from hickoryreach_entry.cell import ownership_scope
from hickoryreach_entry.cell import prefix_watcher
from hickoryreach_entry.cell import records
from hickoryreach_entry.cell import recovery

WATCH_PAUSE_S = 0.5
WATCH_WAIT_S = 0.5
UNREPORTED_WINDOW_S = 5.0


class StoredJobs:
    """Finds the jobs that an entry has stored without reporting them.

    Attributes:
        unreported_at: When such a job was last found, on the monotonic clock
            in s.
        watcher: Watch of the stored jobs.
    """

    def __init__(
        self,
        *,
        scope: ownership_scope.OwnershipScope,
        client: store.Store,
        is_known: Callable[[str], bool],
        submit: Callable[[steps.Job], None],
        on_cancelled_id: Callable[[str, int], None],
    ) -> None:
        """Creates a watch that is not started yet.

        Args:
            scope: The ownership.
            client: The store.
            is_known: Returns whether the owner knows a job, by id.
            submit: Called with each job that it doesn't know.
            on_cancelled_id: Called with each id that was cancelled without a
                job, and the revision of its key.
        """
        self.is_known = is_known
        self.submit = submit
        self.on_cancelled_id = on_cancelled_id
        self.unreported_at = -UNREPORTED_WINDOW_S
        self.watcher = prefix_watcher.PrefixWatcher(
            client=client,
            prefix=records.JOBS_PREFIX,
            wait_s=WATCH_WAIT_S,
            pause_s=WATCH_PAUSE_S,
            on_item=self.handle_item,
            on_page=self.set_pause,
            spawn=scope.spawn,
        )

    def start(self) -> None:
        """Starts the watch."""
        self.watcher.start()

    def start_after(self, revision: int) -> None:
        """Sets the revision up to which the stored jobs are known."""
        self.watcher.revision = revision

    def handle_item(self, item: store.Item) -> None:
        """Accepts what an entry stored without reporting it."""
        job_id = item.key.removeprefix(records.JOBS_PREFIX)
        if item.data is None or self.is_known(job_id):
            return
        kept = recovery.decode_item(item)
        if isinstance(kept, steps.Job):
            self.unreported_at = time.monotonic()
            self.submit(kept)
        elif isinstance(kept, records.CancelledId):
            self.on_cancelled_id(job_id, item.revision)

    def set_pause(self, page: store.Page, complete: bool) -> None:
        """Sets the pause between two calls of the watch.

        It runs without one until no unreported job has been found for
        `UNREPORTED_WINDOW_S`.
        """
        all_reported = (
            time.monotonic() - self.unreported_at > UNREPORTED_WINDOW_S
        )
        self.watcher.pause_s = WATCH_PAUSE_S if all_reported else 0.0
