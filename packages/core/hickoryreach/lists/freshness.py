"""How fresh this entry's lists are, from store reads and peers' statements.

Two grounds count. A store read shows every change accepted before it was
sent. A statement of every other possible writer shows that none of them has
accepted a change that this entry lacks, which holds during a store outage.
Ages never rely on how long a message took: a peer echoes the newest stamp of
ours that it had seen, and its statement counts as made at that stamp.
"""

import dataclasses
import math
import secrets

import orjson
import pydantic

WRITER_RETENTION_S = 30.0
INSTANCE_BYTES = 4
UNKNOWN_AGE_MS = -1
MS_PER_S = 1000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Statement:
    """What an entry tells its peers about its lists.

    Attributes:
        instance: Random name of the process that makes it.
        stamp_ms: Its monotonic clock when it was made.
        age_ms: How long ago its lists were confirmed by a store read, its
            own or a relayed one; UNKNOWN_AGE_MS for never.
        unsettled: Whether it made a change whose outcome it cannot tell.
        revisions: Revision it has in force of each list.
        echoes: Newest stamp it has seen of each other process.
        heard_ms: How long ago each other process was last heard of.
    """

    instance: str
    stamp_ms: int
    age_ms: int
    unsettled: bool
    revisions: dict[str, int]
    echoes: dict[str, int]
    heard_ms: dict[str, int]


_statement_type = pydantic.TypeAdapter(Statement)


def pack(statement: Statement) -> bytes:
    """Returns a statement as sent."""
    return orjson.dumps(statement)


def parse(data: bytes | str) -> Statement:
    """Returns the statement in a message.

    Raises:
        ValueError: The message is no statement.
    """
    return _statement_type.validate_json(data)


@dataclasses.dataclass(kw_only=True, slots=True)
class Writer:
    """Another process that may accept a change.

    Attributes:
        stamp_ms: Its newest stamp that was seen here.
        heard_s: When it was last heard of, here or by a peer.
        confirmed_s: Latest time at which it is known to have accepted no
            change that is missing here.
    """

    stamp_ms: int = 0
    heard_s: float = -math.inf
    confirmed_s: float = -math.inf


class FreshnessTracker:
    """Works out the time as of which this entry's lists are complete.

    All times are seconds of one monotonic clock that the caller passes in.

    Attributes:
        instance: Random name of this process.
        last_read_s: Time as of which a store read confirmed the lists.
        writers: Other processes, by their random names.
    """

    def __init__(self, *, instance: str = "") -> None:
        """Creates one that knows of no read and no peer."""
        self.instance = instance or secrets.token_hex(INSTANCE_BYTES)
        self.last_read_s = -math.inf
        self.writers: dict[str, Writer] = {}

    def record_read(self, sent_s: float) -> None:
        """Notes a store read, sent at a time, that showed nothing newer."""
        self.last_read_s = max(self.last_read_s, sent_s)
        oldest_s = self.last_read_s - WRITER_RETENTION_S
        self.writers = {
            instance: writer
            for instance, writer in self.writers.items()
            if writer.heard_s >= oldest_s
        }

    def build_statement(
        self, now_s: float, *, unsettled: bool, revisions: dict[str, int]
    ) -> Statement:
        """Returns the statement to send now."""
        age_s = now_s - self.last_read_s
        return Statement(
            instance=self.instance,
            stamp_ms=int(now_s * MS_PER_S),
            age_ms=to_ms(age_s) if age_s < math.inf else UNKNOWN_AGE_MS,
            unsettled=unsettled,
            revisions=dict(revisions),
            echoes={
                instance: writer.stamp_ms
                for instance, writer in self.writers.items()
                if writer.stamp_ms
            },
            heard_ms={
                instance: to_ms(now_s - writer.heard_s)
                for instance, writer in self.writers.items()
            },
        )

    def apply_statement(
        self, statement: Statement, now_s: float, revisions: dict[str, int]
    ) -> None:
        """Takes in a peer's statement.

        Args:
            statement: The statement.
            now_s: Time of receipt.
            revisions: Revision in force here of each list, after the peer's
                newer ones were applied.
        """
        if statement.instance == self.instance:
            return
        writer = self.writers.setdefault(statement.instance, Writer())
        writer.stamp_ms = max(writer.stamp_ms, statement.stamp_ms)
        writer.heard_s = now_s
        self._take_heard(statement, now_s)
        echo_ms = statement.echoes.get(self.instance)
        behind = any(
            revisions.get(name, 0) < revision
            for name, revision in statement.revisions.items()
        )
        if echo_ms is None or behind:
            return
        made_s = echo_ms / MS_PER_S
        if statement.age_ms != UNKNOWN_AGE_MS:
            self.record_read(made_s - statement.age_ms / MS_PER_S)
        if not statement.unsettled:
            writer.confirmed_s = max(writer.confirmed_s, made_s)

    def _take_heard(self, statement: Statement, now_s: float) -> None:
        for instance, age_ms in statement.heard_ms.items():
            if instance == self.instance:
                continue
            heard_s = now_s - age_ms / MS_PER_S
            if heard_s < self.last_read_s - WRITER_RETENTION_S:
                continue
            writer = self.writers.setdefault(instance, Writer())
            writer.heard_s = max(writer.heard_s, heard_s)

    def get_as_of_s(self, *, unsettled: bool) -> float:
        """Returns the time as of which the lists are complete."""
        if unsettled or not self.writers:
            return self.last_read_s
        agreed_s = min(w.confirmed_s for w in self.writers.values())
        return max(self.last_read_s, agreed_s)


def to_ms(duration_s: float) -> int:
    """Returns a duration in whole ms, rounded up."""
    return math.ceil(duration_s * MS_PER_S)
