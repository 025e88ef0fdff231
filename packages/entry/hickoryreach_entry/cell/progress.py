"""Storage of an owner's progress, in batches of rows."""

from collections.abc import Callable
import dataclasses
import logging
import time

import gevent
from gevent import event as gevent_event
from returns import result

from hickoryreach.platform import store
from hickoryreach_entry.cell import metrics
from hickoryreach_entry.cell import ownership_scope
from hickoryreach_entry.cell import records

log = logging.getLogger(__name__)

CONCURRENT_WRITES = 2
MAX_EXTRA_WRITES = 4
ROWS_PER_EXTRA_WRITE = 8
BATCH_DELAY_S = 0.008
MAX_FINALS = store.TRANSACTION_LIMIT - 4
MAX_PART_BYTES = 200_000  # of rows; well below what one value may hold
RETRY_S = 0.1
HEDGE_DELAY_S = 0.2
MAX_HEDGED_ATTEMPTS = 3


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Part:
    """Rows that are stored in one write.

    Attributes:
        number: Number of the part in its epoch.
        rows: The rows.
        finals: Final records that replace the jobs that the rows end, by job
            id; stored in the same write.
        kept: Callbacks to run once the part is stored.
        opened_at: When the first row was added, on the monotonic clock in s.
        written: Whether the store is known to hold the part.
    """

    number: int
    rows: list[records.Row] = dataclasses.field(default_factory=list)
    finals: dict[str, bytes] = dataclasses.field(default_factory=dict)
    kept: list[Callable[[], None]] = dataclasses.field(default_factory=list)
    opened_at: float = 0.0
    written: bool = False

    @property
    def is_empty(self) -> bool:
        """Whether nothing was added to the part."""
        return not (self.rows or self.finals or self.kept)


class ProgressWriter:
    """Appends rows to the stored progress of one ownership.

    Several greenlets write parts concurrently. Callbacks run in the order in
    which they were added, so that a job's final state is published after the
    ends that caused it. Minions report ends that are not stored when the
    ownership ends to the next owner again.

    Attributes:
        epoch: Number of the ownership.
        revision: Revision of the owner's key; every write requires that the
            key still has it.
        healthy: Whether the last write succeeded.
        failing_since: When the first of the present failed writes was sent,
            on the monotonic clock in s; 0 while writes succeed.
        extra_writes: Number of writes of large parts, besides those of the
            greenlets that write all the time.
        on_part: Called with the key and the rows of each stored part.
        on_final: Called with each job whose final record is stored.
    """

    def __init__(
        self,
        *,
        scope: ownership_scope.OwnershipScope,
        client: store.Store,
        epoch: int,
        revision: int,
        on_deposed: Callable[[str], None],
    ) -> None:
        """Starts the greenlets that write."""
        self.scope = scope
        self.client = client
        self.epoch = epoch
        self.revision = revision
        self.on_deposed = on_deposed
        self.healthy = True
        self.failing_since = 0.0
        self.stopped = False
        self.number = 0
        self.open = Part(number=0)
        self.pending = gevent_event.Event()
        self.unstored_parts: dict[int, Part] = {}
        self.finished: dict[int, Part] = {}
        self.next_stored = 1
        self.on_part: Callable[[str, list[records.Row]], None] | None = None
        self.on_final: Callable[[str], None] | None = None
        self.extra_writes = 0
        for _ in range(CONCURRENT_WRITES):
            scope.spawn(self.write_parts_forever)

    def append(
        self,
        row: records.Row | None,
        kept: Callable[[], None] | None = None,
        finals: dict[str, bytes] | None = None,
    ) -> None:
        """Adds a row, final records, or a callback after the earlier rows.

        Args:
            row: The row, or None.
            kept: Called once the row and all rows before it are stored.
            finals: Final records that replace jobs that the rows so far end,
                by job id.
        """
        if row is None and not finals and kept is not None and self.is_empty():
            kept()
            return
        if not self.open.opened_at:
            self.open.opened_at = time.monotonic()
        if row is not None:
            self.open.rows.append(row)
        if kept is not None:
            self.open.kept.append(kept)
        if finals:
            self.open.finals |= finals
        self.pending.set()
        if row is not None and not len(self.open.rows) % ROWS_PER_EXTRA_WRITE:
            self.scope.spawn(self.write_large_part)

    def write_large_part(self) -> None:
        """Writes a part that grew large while the other writes are under way.

        Under load a final state would otherwise be published only after those
        writes and its own.
        """
        is_large = len(self.open.rows) >= ROWS_PER_EXTRA_WRITE
        if (
            not is_large
            or self.stopped
            or self.extra_writes >= MAX_EXTRA_WRITES
        ):
            return
        self.extra_writes += 1
        try:
            self.write_part(self.close_open_part())
        finally:
            self.extra_writes -= 1

    def is_empty(self) -> bool:
        """Returns whether everything that was added is stored."""
        return self.open.is_empty and not self.unstored_parts

    def close_open_part(self) -> Part:
        """Closes the open part and opens the next one.

        Rows and final records beyond the limits of one write move to the next
        part; with rows also all callbacks and final records, which may depend
        on the last row.

        Returns:
            The closed part.
        """
        part = self.open
        self.number += 1
        part.number = self.number
        self.open = Part(number=0)
        count = count_rows_in_limit(part.rows)
        if count < len(part.rows):
            self.open.rows = part.rows[count:]
            self.open.kept, self.open.finals = part.kept, part.finals
            self.open.opened_at = part.opened_at
            part.rows, part.kept, part.finals = part.rows[:count], [], {}
        for job_id in list(part.finals)[MAX_FINALS:]:
            self.open.finals[job_id] = part.finals.pop(job_id)
        if self.open.finals:
            self.open.opened_at = part.opened_at
        self.unstored_parts[part.number] = part
        return part

    def write_parts_forever(self) -> None:
        """Writes the open part whenever it holds something."""
        while not self.stopped:
            self.pending.wait()
            if self.open.is_empty:
                self.pending.clear()
                continue
            gevent.sleep(BATCH_DELAY_S)
            if not self.open.is_empty:
                self.write_part(self.close_open_part())

    def write_part(self, part: Part) -> None:
        """Writes one part, with retries until it is stored or this stops.

        Then runs the callbacks of the stored parts that are next in order.
        """
        if part.rows or part.finals:
            key = records.build_progress_key(self.epoch, part.number)
            data = records.encode_rows(part.rows)
            puts = (
                store.Put(key=key, data=data),
                *(
                    store.Put(key=records.build_job_key(job_id), data=each)
                    for job_id, each in part.finals.items()
                ),
            )
            while not self.write_hedged(part, puts):
                if self.stopped:
                    return
                gevent.sleep(RETRY_S)
            metrics.end_store_seconds.observe(time.monotonic() - part.opened_at)
            if self.on_part is not None:
                self.on_part(key, part.rows)
            for job_id in part.finals:
                if self.on_final is not None:
                    self.on_final(job_id)
        self.finished[part.number] = part
        while self.next_stored in self.finished:
            done = self.finished.pop(self.next_stored)
            self.unstored_parts.pop(self.next_stored, None)
            self.next_stored += 1
            for kept in done.kept:
                run_callback(kept)

    def write_hedged(self, part: Part, puts: tuple[store.Put, ...]) -> bool:
        """Writes one part with hedged requests; returns whether it is stored.

        An attempt that is not answered soon is joined by others. The part's
        key must not exist yet, so a conflict in a later attempt shows that
        an earlier one succeeded. One that ended with the ownership returns
        something else than True.
        """
        writers: list[gevent.Greenlet] = []
        while len(writers) < MAX_HEDGED_ATTEMPTS and not part.written:
            writers.append(self.scope.spawn(self.attempt_write, part, puts))
            for done in gevent.wait(writers, timeout=HEDGE_DELAY_S, count=1):
                return done.value is True
        ended = list(gevent.iwait(writers))
        return part.written or any(done.value is True for done in ended)

    def attempt_write(self, part: Part, puts: tuple[store.Put, ...]) -> bool:
        """Makes one attempt to write a part; returns whether it is stored."""
        if self.send_write(part, puts):
            part.written = True
        return part.written

    def send_write(self, part: Part, puts: tuple[store.Put, ...]) -> bool:
        """Makes one call to the store; returns whether the part is stored.

        A failure counts against the store's health only until another
        attempt has stored the part. A conflict on the owner's key ends the
        ownership.
        """
        key = puts[0].key
        sent_at = time.monotonic()
        written = self.client.write(
            puts=puts,
            expected=((records.OWNER_KEY, self.revision), (key, 0)),
        )
        if isinstance(written, result.Success):
            self.update_health(None)
            return True
        if part.written:
            return True
        failure = written.failure()
        if failure.conflict is None:
            self.update_health(failure, sent_at)
            return False
        self.update_health(None)
        found = {item.key: item for item in failure.conflict}
        stored_item = found.get(key)
        if stored_item is not None and stored_item.data == puts[0].data:
            return True
        owner = found.get(records.OWNER_KEY)
        if owner is None or owner.revision != self.revision:
            self.stopped = True
            self.on_deposed("progress_conflict")
        return False

    def update_health(
        self, failure: store.StoreFailure | None, sent_at: float = 0.0
    ) -> None:
        """Updates whether the store accepts writes, and since when not.

        Args:
            failure: Why a write failed, or None if it succeeded.
            sent_at: When the failed write was sent, in s.
        """
        healthy = failure is None
        if healthy != self.healthy:
            log.warning(
                "progress_writes",
                extra={
                    "healthy": healthy,
                    "reason": failure.reason if failure else "",
                },
            )
        self.healthy = healthy
        if healthy:
            self.failing_since = 0.0
        elif not self.failing_since:
            self.failing_since = sent_at


def run_callback(kept: Callable[[], None]) -> None:
    """Runs one callback; its error keeps no other one from its turn."""
    try:
        kept()
    except Exception:  # else later ends would never be acknowledged
        log.exception("progress_callback_broken", extra={})


def count_rows_in_limit(rows: list[records.Row]) -> int:
    """Returns how many of the first rows one write can hold, at least 1."""
    size = 0
    for count, row in enumerate(rows):
        size += len(records.encode_rows([row]))
        if count and size > MAX_PART_BYTES:
            return count
    return len(rows)
