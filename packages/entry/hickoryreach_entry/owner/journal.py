"""The journal of one shard, kept in the platform's store.

The journal is a sequence of keys that are only ever created. Whoever creates
the next key has written it; an owner that finds it created by another has
lost the shard. A new owner creates a key first, and its number is the term,
unless a higher term is known to have been used.
"""

import collections
from collections.abc import Callable
import logging
import time
import uuid

import gevent
from gevent import event as gevent_event
from returns import result

from hickoryreach import exceptions
from hickoryreach.trial import store
from hickoryreach_entry import greenlets
from hickoryreach_entry import metrics
from hickoryreach_entry.owner import image as journal_image
from hickoryreach_entry.owner import records

log = logging.getLogger(__name__)

RETRY_S = 0.2
WRITES_PART = 0.8
TAKE_TIMEOUT_S = 15.0
SEGMENT_LIMIT_BYTES = 700_000
FLOOR_BYTES = 4_000_000
KEEP_BYTES = 200_000
RECORD_LIMIT_BYTES = 600_000

Done = Callable[[bool], None]


def segment_key(shard: int, sequence: int) -> str:
    """Returns the key of one segment."""
    return f"{prefix(shard)}{sequence:012d}"


def prefix(shard: int) -> str:
    """Returns the prefix of a shard's segments."""
    return f"hickoryreach/journal/{shard}/"


def number(key: str) -> int:
    """Returns the number of the segment under a key."""
    return int(key.rsplit("/", 1)[1])


class Journal:
    """Appends records in groups, and notices a lost shard.

    Attributes:
        shard: The shard.
        owner: Name of this instance.
        term: Term of this owner.
        sequence: Number of the next segment.
        image: What the journal tells.
        lost: Set once another owner has written.
        writing: Whether a segment is being written.
        healthy: Whether the last write or read was answered.
        failing_since: Time, in s, of the first unanswered write, or 0.
        restored: Whether the store was found restored to an older state.
        store_index: Highest index the store answered.
    """

    def __init__(
        self,
        *,
        client: store.Store,
        shard: int,
        owner: str,
        commit_s: float,
        on_lost: Callable[[], None],
        on_kept: Callable[[float], None] = lambda sent: None,
        spacing_s: float = 0.0,
    ) -> None:
        """Creates a journal that has not been taken yet.

        Args:
            client: The store.
            shard: The shard.
            owner: Name of this instance.
            commit_s: Time a commit gathers, in s.
            on_lost: Called once another owner has written.
            on_kept: Called with the time, in s, at which the write of a kept
                segment was first sent.
            spacing_s: Least time between two commits, in s.
        """
        self.client = client
        self.shard = shard
        self.owner = owner
        self.commit_s = commit_s
        self.spacing_s = spacing_s
        self.on_lost = on_lost
        self.on_kept = on_kept
        self.term = 0
        self.sequence = 0
        self.image = journal_image.Image()
        self.lost = False
        self.closed = False
        self.waiting: collections.deque = collections.deque()
        self.pending = gevent_event.Event()
        self.healthy = True
        self.writing = False
        self.failing_since = 0.0
        self.restored = False
        self.store_index = 0

    def take(self) -> result.Result[None, exceptions.StoreFailure]:
        """Reads the journal and becomes its owner, at the first free number."""
        while not self.closed:
            read = self.client.get_prefix(
                prefix(self.shard), timeout_s=TAKE_TIMEOUT_S
            )
            if isinstance(read, result.Failure):
                return read
            self.read_image(read.unwrap())
            self.term = max(self.sequence, self.image.term + 1)
            first = records.OwnerTook(owner=self.owner, term=self.term)
            if self.write_segment([records.encode(first)], (first,)):
                return result.Success(None)
            if not self.lost:
                break
            self.lost = False
        return result.Failure(
            exceptions.StoreFailure(reason="journal not taken")
        )

    def read_image(self, snapshot: store.Snapshot) -> None:
        """Replays the segments read."""
        self.image = journal_image.Image()
        self.store_index = max(self.store_index, snapshot.index)
        for value in snapshot.values:
            segment = records.segment_type.validate_json(value.data)
            self.image.take_segment(number(value.key), segment, len(value.data))
        values = snapshot.values
        self.sequence = number(values[-1].key) + 1 if values else 1

    def raise_term(self, above: int, done: Done) -> None:
        """Takes a term above one that the workers were asked under."""
        self.term = above + 1
        self.append(records.OwnerTook(owner=self.owner, term=self.term), done)

    def start(self) -> None:
        """Begins to write what is appended."""
        greenlets.spawn_vital(self.write_forever)

    def append(self, record: records.Record, done: Done | None = None) -> None:
        """Adds a record to the next segment.

        Args:
            record: The record.
            done: Called with True once it is kept, or with False once it is
                certain that it never will be.
        """
        row = records.encode(record)
        self.waiting.append((time.monotonic(), row, record, done))
        self.pending.set()

    def call_when_kept(self, done: Done) -> None:
        """Calls back once everything appended so far is kept."""
        if not self.waiting and not self.writing:
            done(True)
            return
        self.waiting.append((time.monotonic(), b"", None, done))
        self.pending.set()

    def write_forever(self) -> None:
        """Writes segments until the shard is lost."""
        while not self.lost and not self.closed:
            self.pending.wait()
            self.pending.clear()
            gevent.sleep(self.commit_s)
            self.write_waiting()

    def write_waiting(self) -> None:
        """Writes everything that waits."""
        while self.waiting and not self.lost and not self.closed:
            started = time.monotonic()
            self.write_group()
            self.clean()
            left = self.spacing_s - (time.monotonic() - started)
            if left > 0 and not self.closed:
                gevent.sleep(left)
        if self.lost:
            self.refuse_waiting()

    def write_group(self) -> None:
        """Writes one segment of what waits."""
        surplus = self.image.surplus_bytes(FLOOR_BYTES)
        kept_again = tuple(self.image.keep_oldest(surplus, KEEP_BYTES))
        rows = [records.encode(record) for record in kept_again]
        size = sum(len(row) for row in rows)
        group = []
        while self.waiting:
            size += len(self.waiting[0][1])
            if group and size > SEGMENT_LIMIT_BYTES:
                break
            group.append(self.waiting.popleft())
        rows += [row for _, row, _, _ in group if row]
        members = kept_again + tuple(
            record for _, _, record, _ in group if record is not None
        )
        self.writing = True
        kept = not members or self.write_segment(rows, members)
        self.writing = False
        if not kept and not self.lost:
            return
        now = time.monotonic()
        for waited_since, _, _, done in group:
            metrics.commit_seconds.observe(now - waited_since)
            if done is not None:
                done(kept)

    def clean(self) -> None:
        """Deletes the oldest segments that tell nothing any more."""
        if self.image.surplus_bytes(FLOOR_BYTES) <= 0 or self.lost:
            return
        free = self.image.list_free(store.TRANSACTION_LIMIT)
        few = len(free) < store.TRANSACTION_LIMIT
        if not free or (few and len(free) < len(self.image.segments) // 2):
            return
        keys = [segment_key(self.shard, sequence) for sequence in free]
        if isinstance(self.client.delete(keys), result.Success):
            self.image.drop_segments(free)

    def refuse_waiting(self) -> None:
        """Tells everyone who waits that nothing more is kept."""
        while self.waiting:
            _, _, _, done = self.waiting.popleft()
            if done is not None:
                done(False)

    def write_segment(
        self, rows: list[bytes], members: tuple[records.Record, ...]
    ) -> bool:
        """Creates the next segment; repeats until its fate is certain.

        Args:
            rows: The encoded records.
            members: The same records.

        Returns:
            True when it is kept, False when another owner came first or the
            journal was closed.
        """
        segment = records.Segment(
            token=str(uuid.uuid4()),
            owner=self.owner,
            term=self.term,
            records=members,
        )
        data = records.encode_segment(segment, rows)
        key = segment_key(self.shard, self.sequence)
        sent = time.monotonic()
        while not self.closed:
            written = self.client.put_if(key, data, index=0)
            if isinstance(written, result.Success):
                index = written.unwrap()
                return self.keep_segment(segment, len(data), sent, index)
            if isinstance(written.failure(), exceptions.Conflict):
                return self.settle_conflict(key, segment, len(data), sent)
            self.note_failure()
            gevent.sleep(RETRY_S)
        return False

    def note_failure(self) -> None:
        """Notes a call that the store did not answer."""
        if self.healthy:
            log.warning("journal_waits", extra={"shard": self.shard})
            self.failing_since = time.monotonic()
        self.healthy = False
        metrics.journal_healthy.labels(str(self.shard)).set(0)

    def note_answer(self) -> None:
        """Notes that the store answers."""
        self.healthy = True
        self.failing_since = 0.0
        metrics.journal_healthy.labels(str(self.shard)).set(1)

    def keep_segment(
        self, segment: records.Segment, size: int, sent: float, index: int
    ) -> bool:
        """Takes in a segment that is certainly kept."""
        self.note_answer()
        self.image.take_segment(self.sequence, segment, size)
        self.sequence += 1
        if index < self.store_index:
            self.report_restored(index)
            return True
        self.store_index = index
        if not self.restored:
            self.on_kept(sent)
        return True

    def report_restored(self, index: int) -> None:
        """Reports a store whose index went back, and writes all jobs anew."""
        log.error(
            "store_restored",
            extra={
                "shard": self.shard,
                "seen": self.store_index,
                "now": index,
            },
        )
        metrics.store_restored.inc()
        self.restored = True
        self.store_index = index
        for progress in tuple(self.image.jobs.values()):
            self.append(journal_image.keep(progress))
        if self.image.worker_ids:
            self.append(
                records.WorkersChanged(worker_ids=self.image.worker_ids)
            )

    def settle_conflict(
        self, key: str, segment: records.Segment, size: int, sent: float
    ) -> bool:
        """Finds out who created a segment that stands already."""
        while not self.closed:
            read = self.client.get(key)
            if isinstance(read, result.Success):
                break
            self.note_failure()
            gevent.sleep(RETRY_S)
        else:
            return False
        values = read.unwrap().values
        if values and is_token(values[0].data, segment.token):
            return self.keep_segment(segment, size, sent, values[0].index)
        self.lose()
        return False

    def lose(self) -> None:
        """Notes that another owner has the shard."""
        self.lost = True
        log.warning("journal_lost", extra={"shard": self.shard})
        self.on_lost()

    def flush(self, timeout_s: float) -> bool:
        """Waits until nothing waits to be written; returns whether so."""
        flushed = gevent_event.Event()
        self.append(
            records.OwnerReleased(owner=self.owner),
            lambda kept: flushed.set() if kept else None,
        )
        return bool(flushed.wait(timeout_s))

    def close(self) -> None:
        """Stops writing."""
        self.closed = True
        self.pending.set()


def is_token(data: bytes, token: str) -> bool:
    """Returns whether a segment carries a token."""
    return records.segment_type.validate_json(data).token == token
