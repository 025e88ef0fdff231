"""What the store keeps of a list: head, snapshots and audit segments.

The head holds the revision and the latest changes, each with its audit
record, so that one compare-and-swap carries both. Once the changes outgrow
HEAD_LIMIT_BYTES they are rolled into an immutable audit segment, and the
document at that revision into an immutable snapshot.
"""

import dataclasses

import orjson
import pydantic

from hickoryreach.lists import documents

HEAD_LIMIT_BYTES = 4_096
HEAD_PREFIX = "hickoryreach/lists/"
SNAPSHOT_PREFIX = "hickoryreach/list-snapshots/"
SEGMENT_PREFIX = "hickoryreach/list-audit/"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Change:
    """One accepted change with its audit record.

    Attributes:
        revision: Revision it leads to; it was made on the one before.
        at_ms: Wall clock, in ms since the epoch.
        actor: Operator who made it.
        action: set, grant, withdraw.
        token: Unique mark, to recognize the change after a lost answer.
        put: New value of each path added or changed.
        removed: Paths that are gone.
    """

    revision: int
    at_ms: int
    actor: str
    action: str
    token: str
    put: dict[str, object] = dataclasses.field(default_factory=dict)
    removed: tuple[str, ...] = ()

    @property
    def delta(self) -> documents.Delta:
        """The delta of the document."""
        return documents.Delta(put=self.put, removed=self.removed)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Head:
    """The mutable value of one list.

    Attributes:
        revision: Revision of the document; 0 while there is none.
        base_revision: Revision of the newest snapshot and segment.
        base_token: Token of the change that led to `base_revision`.
        changes: Every change after `base_revision`, oldest first.
    """

    revision: int = 0
    base_revision: int = 0
    base_token: str = ""
    changes: tuple[Change, ...] = ()

    @property
    def token(self) -> str:
        """Token of the newest change."""
        return self.changes[-1].token if self.changes else self.base_token


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Segment:
    """Changes rolled out of the head; immutable.

    Attributes:
        base_revision: Key of the segment before this one; 0 for none.
        changes: The changes, oldest first.
    """

    base_revision: int
    changes: tuple[Change, ...]


_head_type = pydantic.TypeAdapter(Head)
_segment_type = pydantic.TypeAdapter(Segment)


def get_head_key(name: str) -> str:
    """Returns the key of a list's head."""
    return HEAD_PREFIX + name


def get_snapshot_key(name: str, revision: int) -> str:
    """Returns the key of the snapshot at a revision."""
    return f"{SNAPSHOT_PREFIX}{name}/{revision}"


def get_segment_key(name: str, revision: int) -> str:
    """Returns the key of the segment that ends with a revision."""
    return f"{SEGMENT_PREFIX}{name}/{revision}"


def pack(value: Head | Segment | documents.FlatDocument) -> bytes:
    """Returns a value as the store keeps it."""
    return orjson.dumps(value)


def parse_head(data: bytes) -> Head:
    """Returns the head in a stored value.

    Raises:
        ValueError: The value is no head.
    """
    return _head_type.validate_json(data)


def parse_segment(data: bytes) -> Segment:
    """Returns the segment in a stored value.

    Raises:
        ValueError: The value is no segment.
    """
    return _segment_type.validate_json(data)


def append_change(head: Head, change: Change) -> Head:
    """Returns the head after one more change."""
    return dataclasses.replace(
        head, revision=change.revision, changes=(*head.changes, change)
    )


def compact_head(head: Head) -> Head:
    """Returns the head with its changes moved into a segment."""
    return Head(
        revision=head.revision,
        base_revision=head.revision,
        base_token=head.token,
    )


def build_segment(head: Head) -> Segment:
    """Returns the segment that a roll of `head` writes."""
    return Segment(base_revision=head.base_revision, changes=head.changes)


def find_change(head: Head, revision: int) -> Change | None:
    """Returns the change that led to a revision, if the head holds it."""
    for change in head.changes:
        if change.revision == revision:
            return change
    return None


def contains_change(head: Head, revision: int, token: str) -> bool:
    """Returns whether a head's history holds this revision's change.

    A store restored from a copy and then changed does not hold it.
    """
    if revision in (0, head.base_revision):
        return revision == 0 or token == head.base_token
    change = find_change(head, revision)
    return change is None or change.token == token


def replay_changes(
    flat: documents.FlatDocument, revision: int, head: Head
) -> documents.FlatDocument:
    """Returns the document at the head, from one at `revision`.

    `revision` must not be below the head's `base_revision`.
    """
    for change in head.changes:
        if change.revision > revision:
            flat = documents.apply_delta(flat, change.delta)
    return flat
