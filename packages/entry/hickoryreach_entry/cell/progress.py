"""Writes the owner's progress to the store, many rows in one call."""

from collections.abc import Callable
import dataclasses
import logging
import time

import gevent
from gevent import event as gevent_event
from returns import result

from hickoryreach.platform import store
from hickoryreach_entry.cell import metrics
from hickoryreach_entry.cell import records

log = logging.getLogger(__name__)

WRITES_AT_ONCE = 2
GATHER_S = 0.008
FINALS_LIMIT = store.TRANSACTION_LIMIT - 4
RETRY_S = 0.1
HEDGE_S = 0.2
TRIES_AT_ONCE = 3


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class Part:
    """Rows that are written together.

    Attributes:
        number: Number of the part in its epoch.
        rows: The rows.
        finals: What takes the place of jobs that the rows bring to an end,
            by id; written in the same call.
        kept: Called once they are kept.
        begun_at: When the first row came, on the steady clock in s.
        written: Whether the store is known to hold it.
    """

    number: int
    rows: list[records.Row] = dataclasses.field(default_factory=list)
    finals: dict[str, bytes] = dataclasses.field(default_factory=dict)
    kept: list[Callable[[], None]] = dataclasses.field(default_factory=list)
    begun_at: float = 0.0
    written: bool = False

    @property
    def is_empty(self) -> bool:
        """Returns whether nothing was added to it."""
        return not (self.rows or self.finals or self.kept)


class ProgressWriter:
    """Appends to the progress of one ownership.

    Parts are written by several greenlets at once. Callbacks run in the
    order in which they were added, so that a job's final state follows the
    ends that caused it.

    Attributes:
        epoch: Number of the ownership.
        revision: Revision of the owner's key, which guards each write.
        healthy: Whether the last write was carried out.
        failing_since: When the first write that failed was sent, in s; 0
            while none fails.
    """

    def __init__(
        self,
        *,
        client: store.Store,
        epoch: int,
        revision: int,
        on_deposed: Callable[[str], None],
    ) -> None:
        """Begins to write."""
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
        self.unstored: dict[int, Part] = {}
        self.finished: dict[int, Part] = {}
        self.next_stored = 1
        self.on_part: Callable[[str, list[records.Row]], None] | None = None
        self.on_final: Callable[[str], None] | None = None
        self.greenlets = [
            gevent.spawn(self.write_forever) for _ in range(WRITES_AT_ONCE)
        ]

    def append(
        self,
        row: records.Row | None,
        kept: Callable[[], None] | None = None,
        finals: dict[str, bytes] | None = None,
    ) -> None:
        """Adds a row, or just a callback that follows the rows before it.

        Args:
            row: The row, or None.
            kept: Called once the row, and all before it, are kept.
            finals: What takes the place of jobs that the rows so far bring
                to an end.
        """
        if row is None and not finals and kept is not None and self.is_empty():
            kept()
            return
        if not self.open.begun_at:
            self.open.begun_at = time.monotonic()
        if row is not None:
            self.open.rows.append(row)
        if kept is not None:
            self.open.kept.append(kept)
        if finals:
            self.open.finals |= finals
        self.pending.set()

    def is_empty(self) -> bool:
        """Returns whether everything that was added is kept."""
        return self.open.is_empty and not self.unstored

    def take_open(self) -> Part:
        """Closes the open part; finals beyond the limit go to the next."""
        part = self.open
        self.number += 1
        part.number = self.number
        self.open = Part(number=0)
        for job_id in list(part.finals)[FINALS_LIMIT:]:
            self.open.finals[job_id] = part.finals.pop(job_id)
        if self.open.finals:
            self.open.begun_at = part.begun_at
        self.unstored[part.number] = part
        return part

    def write_forever(self) -> None:
        """Writes what waits, part by part."""
        while not self.stopped:
            self.pending.wait()
            if self.open.is_empty:
                self.pending.clear()
                continue
            gevent.sleep(GATHER_S)
            if not self.open.is_empty:
                self.write(self.take_open())

    def write(self, part: Part) -> None:
        """Writes one part until it is kept or the ownership is lost."""
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
            metrics.end_store_seconds.observe(time.monotonic() - part.begun_at)
            if self.on_part is not None:
                self.on_part(key, part.rows)
            for job_id in part.finals:
                if self.on_final is not None:
                    self.on_final(job_id)
        self.finished[part.number] = part
        while self.next_stored in self.finished:
            done = self.finished.pop(self.next_stored)
            self.unstored.pop(self.next_stored, None)
            self.next_stored += 1
            for kept in done.kept:
                kept()

    def write_hedged(self, part: Part, puts: tuple[store.Put, ...]) -> bool:
        """Tries to write one part; returns whether it is kept.

        A try that is not answered soon is joined by others, the condition of
        which tells whether it was carried out.
        """
        tries: list[gevent.Greenlet] = []
        while len(tries) < TRIES_AT_ONCE and not part.written:
            tries.append(gevent.spawn(self.write_once, part, puts))
            for done in gevent.wait(tries, timeout=HEDGE_S, count=1):
                return bool(done.value)
        return any(done.value for done in gevent.iwait(tries)) or part.written

    def write_once(self, part: Part, puts: tuple[store.Put, ...]) -> bool:
        """Tries once to write one part; returns whether it is kept."""
        if self.try_write(part, puts):
            part.written = True
        return part.written

    def try_write(self, part: Part, puts: tuple[store.Put, ...]) -> bool:
        """Makes one call; a failure counts until the part is written."""
        key = puts[0].key
        begun_at = time.monotonic()
        written = self.client.write(
            puts=puts,
            expected=((records.OWNER_KEY, self.revision), (key, 0)),
        )
        if isinstance(written, result.Success):
            self.note_health(None)
            return True
        if part.written:
            return True
        failure = written.failure()
        if failure.conflict is None:
            self.note_health(failure, begun_at)
            return False
        self.note_health(None)
        found = {item.key: item for item in failure.conflict}
        mine = found.get(key)
        if mine is not None and mine.data == puts[0].data:
            return True
        owner = found.get(records.OWNER_KEY)
        if owner is None or owner.revision != self.revision:
            self.stopped = True
            self.on_deposed("progress_conflict")
        return False

    def note_health(
        self, failure: store.StoreFailure | None, begun_at: float = 0.0
    ) -> None:
        """Notes whether the store carries out writes, and since when not."""
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
            self.failing_since = begun_at

    def close(self) -> None:
        """Stops writing; what is not kept is listed again by minions."""
        self.stopped = True
        self.pending.set()
        gevent.killall(
            [
                each
                for each in self.greenlets
                if each is not gevent.getcurrent()
            ],
            block=False,
        )
