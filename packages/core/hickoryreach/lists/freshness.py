"""Age of the lists of an entry, from store reads and statements of peers.

Two things confirm that the lists are complete. A store read returns every
change that was accepted before the read was sent. Statements of all other
possible writers show that none of them has accepted a change that this entry
lacks; they also count while the store is down. Ages do not depend on how long
a message took: a peer echoes the newest timestamp that it has received from
this entry, and its statement counts as made at that time.
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
    """The state of an entry's lists, as sent to its peers.

    Attributes:
        instance: Random name of the sending process.
        stamp_ms: Its monotonic clock when the statement was made, in ms.
        age_ms: Time since its lists were last confirmed by a store read, its
            own or one reported by a peer, in ms; UNKNOWN_AGE_MS for never.
        unsettled: Whether it made a change whose outcome is unknown.
        revisions: Revision in force of each list.
        echoes: Newest timestamp received from each other process, in ms.
        heard_ms: Time since the last message of each other process, received
            by it or by a peer, in ms.
    """

    instance: str
    stamp_ms: int
    age_ms: int
    unsettled: bool
    revisions: dict[str, int]
    echoes: dict[str, int]
    heard_ms: dict[str, int]


_statement_adapter = pydantic.TypeAdapter(Statement)


def pack(statement: Statement) -> bytes:
    """Returns a statement encoded for sending."""
    return orjson.dumps(statement)


def parse(data: bytes | str) -> Statement:
    """Returns the statement in a message.

    Raises:
        ValueError: The message is not a valid statement.
    """
    return _statement_adapter.validate_json(data)


@dataclasses.dataclass(kw_only=True, slots=True)
class Writer:
    """Another process that may accept changes.

    Attributes:
        stamp_ms: Newest timestamp received from it, on its own clock.
        last_heard_s: When this process or a peer last received a message of
            it.
        confirmed_s: Latest time at which it is known to have accepted no
            change that is missing here.
    """

    stamp_ms: int = 0
    last_heard_s: float = -math.inf
    confirmed_s: float = -math.inf


class FreshnessTracker:
    """Determines the time as of which the lists of this entry are complete.

    All times are in seconds, on one monotonic clock that the caller reads.

    Attributes:
        instance: Random name of this process.
        last_read_s: Time as of which a store read, by this process or a peer,
            last confirmed the lists.
        writers: The other processes, by their random names.
    """

    def __init__(self, *, instance: str = "") -> None:
        """Creates a tracker without any read or peer."""
        self.instance = instance or secrets.token_hex(INSTANCE_BYTES)
        self.last_read_s = -math.inf
        self.writers: dict[str, Writer] = {}

    def record_read(self, sent_s: float) -> None:
        """Records a store read that returned nothing newer than in force.

        Writers that were last heard more than WRITER_RETENTION_S before the
        read are removed.

        Args:
            sent_s: When the read was sent.
        """
        self.last_read_s = max(self.last_read_s, sent_s)
        oldest_s = self.last_read_s - WRITER_RETENTION_S
        self.writers = {
            instance: writer
            for instance, writer in self.writers.items()
            if writer.last_heard_s >= oldest_s
        }

    def build_statement(
        self, now_s: float, *, unsettled: bool, revisions: dict[str, int]
    ) -> Statement:
        """Returns the statement to send to peers.

        Args:
            now_s: The current time.
            unsettled: Whether this entry made a change whose outcome is
                unknown.
            revisions: Revision in force of each list.
        """
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
                instance: to_ms(now_s - writer.last_heard_s)
                for instance, writer in self.writers.items()
            },
        )

    def apply_statement(
        self, statement: Statement, now_s: float, revisions: dict[str, int]
    ) -> None:
        """Applies a statement received from a peer.

        Args:
            statement: The statement.
            now_s: Time of receipt.
            revisions: Revision in force of each list in this entry, after
                newer ones from the peer were applied.
        """
        if statement.instance == self.instance:
            return
        writer = self.writers.setdefault(statement.instance, Writer())
        writer.stamp_ms = max(writer.stamp_ms, statement.stamp_ms)
        writer.last_heard_s = now_s
        self._update_last_heard(statement, now_s)
        echo_ms = statement.echoes.get(self.instance)
        is_behind = any(
            revisions.get(name, 0) < revision
            for name, revision in statement.revisions.items()
        )
        if echo_ms is None or is_behind:
            return
        made_s = echo_ms / MS_PER_S
        if statement.age_ms != UNKNOWN_AGE_MS:
            self.record_read(made_s - statement.age_ms / MS_PER_S)
        if not statement.unsettled:
            writer.confirmed_s = max(writer.confirmed_s, made_s)

    def _update_last_heard(self, statement: Statement, now_s: float) -> None:
        for instance, age_ms in statement.heard_ms.items():
            if instance == self.instance:
                continue
            last_heard_s = now_s - age_ms / MS_PER_S
            if last_heard_s < self.last_read_s - WRITER_RETENTION_S:
                continue
            writer = self.writers.setdefault(instance, Writer())
            writer.last_heard_s = max(writer.last_heard_s, last_heard_s)

    def get_as_of_s(self, *, unsettled: bool) -> float:
        """Returns the time as of which the lists are complete.

        Args:
            unsettled: Whether this entry made a change whose outcome is
                unknown. Statements of other writers do not cover it, so only
                store reads count then.
        """
        if unsettled or not self.writers:
            return self.last_read_s
        all_confirmed_s = min(w.confirmed_s for w in self.writers.values())
        return max(self.last_read_s, all_confirmed_s)


def to_ms(duration_s: float) -> int:
    """Returns a duration in ms, rounded up."""
    return math.ceil(duration_s * MS_PER_S)
