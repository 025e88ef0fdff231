"""The journal of one shard, kept in the platform's store.

The journal is a sequence of keys that are only ever created. Whoever creates
the next key has written it; an owner that finds it created by another has
lost the shard. A new owner creates a key first, and its number is the term.
"""

import collections
from collections.abc import Callable
import logging
import uuid

import gevent
from gevent import event as gevent_event
import orjson
from returns import result

from hickoryreach import exceptions
from hickoryreach.platform import store
from hickoryreach_entry.owner import records

log = logging.getLogger(__name__)

RETRY_S = 0.2
RECORDS_PER_SEGMENT = 2_000


def segment_key(shard: int, sequence: int) -> str:
    """Returns the key of one segment."""
    return f"{prefix(shard)}{sequence:012d}"


def prefix(shard: int) -> str:
    """Returns the prefix of a shard's segments."""
    return f"hickoryreach/journal/{shard}/"


class Journal:
    """Appends records in groups, and notices a lost shard.

    Attributes:
        shard: The shard.
        owner: Name of this instance.
        term: Sequence number of this owner's first segment.
        sequence: Number of the next segment.
        lost: Set once another owner has written.
    """

    def __init__(
        self,
        *,
        client: store.Store,
        shard: int,
        owner: str,
        commit_s: float,
        on_lost: Callable[[], None],
    ) -> None:
        """Creates a journal that has not been taken yet."""
        self.client = client
        self.shard = shard
        self.owner = owner
        self.commit_s = commit_s
        self.on_lost = on_lost
        self.term = 0
        self.sequence = 0
        self.lost = False
        self.closed = False
        self.waiting: collections.deque = collections.deque()
        self.pending = gevent_event.Event()
        self.healthy = True

    def take(
        self,
    ) -> result.Result[list[records.Record], exceptions.StoreFailure]:
        """Reads the journal and becomes its owner.

        Returns:
            Every record before this owner's own, in order.
        """
        while True:
            read = self.client.get_prefix(prefix(self.shard))
            if isinstance(read, result.Failure):
                return read
            values = read.unwrap().values
            self.sequence = _next_sequence(values)
            first = records.OwnerTook(owner=self.owner, token=str(uuid.uuid4()))
            if self.write_segment((first,)):
                self.term = self.sequence - 1
                return result.Success(_unpack(values))
            if not self.lost:
                return result.Failure(
                    exceptions.StoreFailure(reason="journal not taken")
                )
            self.lost = False

    def start(self) -> None:
        """Begins to write what is appended."""
        gevent.spawn(self.write_forever)

    def append(
        self, record: records.Record, done: Callable[[bool], None] | None = None
    ) -> None:
        """Adds a record to the next segment.

        Args:
            record: The record.
            done: Called with True once it is kept, or with False once it is
                certain that it never will be.
        """
        self.waiting.append((record, done))
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
        while self.waiting and not self.lost:
            count = min(len(self.waiting), RECORDS_PER_SEGMENT)
            group = [self.waiting.popleft() for _ in range(count)]
            kept = self.write_segment(tuple(record for record, _ in group))
            for _, done in group:
                if done is not None:
                    done(kept)
        if self.lost:
            self.refuse_waiting()

    def refuse_waiting(self) -> None:
        """Tells everyone who waits that nothing more is kept."""
        while self.waiting:
            _, done = self.waiting.popleft()
            if done is not None:
                done(False)

    def write_segment(self, group: tuple[records.Record, ...]) -> bool:
        """Creates the next segment; repeats until its fate is certain.

        Returns:
            True when it is kept, False when another owner came first.
        """
        segment = records.Segment(token=str(uuid.uuid4()), records=group)
        key = segment_key(self.shard, self.sequence)
        data = orjson.dumps(segment)
        while not self.closed:
            written = self.client.put_if(key, data, index=0)
            self.healthy = not _is_store_failure(written)
            if isinstance(written, result.Success):
                self.sequence += 1
                return True
            if isinstance(written.failure(), exceptions.Conflict):
                return self.settle_conflict(key, segment.token)
            gevent.sleep(RETRY_S)
        return False

    def settle_conflict(self, key: str, token: str) -> bool:
        """Finds out who created a segment that stands already."""
        while not self.closed:
            read = self.client.get(key)
            if isinstance(read, result.Success):
                break
            gevent.sleep(RETRY_S)
        else:
            return False
        values = read.unwrap().values
        if values and orjson.loads(values[0].data)["token"] == token:
            self.sequence += 1
            return True
        self.lose()
        return False

    def lose(self) -> None:
        """Notes that another owner has the shard."""
        self.lost = True
        log.warning("journal_lost", extra={"shard": self.shard})
        self.on_lost()

    def close(self) -> None:
        """Stops writing."""
        self.closed = True
        self.pending.set()


def _is_store_failure(written: store.Write) -> bool:
    return isinstance(written, result.Failure) and isinstance(
        written.failure(), exceptions.StoreFailure
    )


def _next_sequence(values: tuple[store.Value, ...]) -> int:
    if not values:
        return 1
    return int(values[-1].key.rsplit("/", 1)[1]) + 1


def _unpack(values: tuple[store.Value, ...]) -> list[records.Record]:
    return [
        record
        for value in values
        for record in records.segment_type.validate_json(value.data).records
    ]
