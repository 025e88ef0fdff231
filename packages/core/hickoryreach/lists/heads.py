"""Stored form of a list: its head, snapshots and audit segments.

The head holds the revision and the latest changes, each with its audit
record, so that a single compare-and-swap stores both. When the head grows
beyond HEAD_LIMIT_BYTES it is compacted: its changes move to an immutable
audit segment, and the document at that revision to an immutable snapshot.
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
        revision: Revision that the change produced; it was made on the
            revision before.
        at_ms: Wall-clock time of the change, in ms since the Unix epoch.
        actor: Operator who made it.
        action: set, grant or withdraw.
        token: Unique id, by which the change is recognized in the store when
            the response to its write was lost.
        put: New value of each path that was added or changed.
        removed: Paths that were removed.
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
        """The delta that the change applies to the document."""
        return documents.Delta(put=self.put, removed=self.removed)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Head:
    """The only mutable value stored for a list.

    Attributes:
        revision: Revision of the document; 0 before the first change.
        base_revision: Revision of the newest snapshot and segment; 0 for none.
        base_token: Token of the change that produced `base_revision`.
        changes: All changes after `base_revision`, oldest first.
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
    """An immutable audit segment: changes that a compaction moved here.

    Attributes:
        base_revision: Last revision of the previous segment, which is part of
            its key; 0 for none.
        changes: The changes, oldest first.
    """

    base_revision: int
    changes: tuple[Change, ...]


_head_adapter = pydantic.TypeAdapter(Head)
_segment_adapter = pydantic.TypeAdapter(Segment)


def get_head_key(name: str) -> str:
    """Returns the key of a list's head."""
    return HEAD_PREFIX + name


def get_snapshot_key(name: str, revision: int) -> str:
    """Returns the key of the snapshot of a list at a revision."""
    return f"{SNAPSHOT_PREFIX}{name}/{revision}"


def get_segment_key(name: str, revision: int) -> str:
    """Returns the key of the audit segment that ends with a revision."""
    return f"{SEGMENT_PREFIX}{name}/{revision}"


def pack(value: Head | Segment | documents.FlatDocument) -> bytes:
    """Returns a value in its stored form."""
    return orjson.dumps(value)


def parse_head(data: bytes) -> Head:
    """Returns the head in a stored value.

    Raises:
        ValueError: The value is not a valid head.
    """
    return _head_adapter.validate_json(data)


def parse_segment(data: bytes) -> Segment:
    """Returns the segment in a stored value.

    Raises:
        ValueError: The value is not a valid segment.
    """
    return _segment_adapter.validate_json(data)


def append_change(head: Head, change: Change) -> Head:
    """Returns a head with one more change."""
    return dataclasses.replace(
        head, revision=change.revision, changes=(*head.changes, change)
    )


def compact_head(head: Head) -> Head:
    """Returns a head without its changes, which were moved to a segment."""
    return Head(
        revision=head.revision,
        base_revision=head.revision,
        base_token=head.token,
    )


def build_segment(head: Head) -> Segment:
    """Returns the segment that a compaction of `head` writes."""
    return Segment(base_revision=head.base_revision, changes=head.changes)


def find_change(head: Head, revision: int) -> Change | None:
    """Returns the change that produced a revision, if the head contains it."""
    for change in head.changes:
        if change.revision == revision:
            return change
    return None


def contains_change(head: Head, revision: int, token: str) -> bool:
    """Returns whether a change is part of the history of a head.

    It is not if the store was restored from a backup and then changed. The
    result is also True where the head no longer has a change for `revision`,
    since there is no token to compare with.

    Args:
        head: The head.
        revision: Revision that the change produced; 0 for no change.
        token: Token of the change.
    """
    if revision in (0, head.base_revision):
        return revision == 0 or token == head.base_token
    change = find_change(head, revision)
    return change is None or change.token == token


def replay_changes(
    flat: documents.FlatDocument, revision: int, head: Head
) -> documents.FlatDocument:
    """Returns the document at the revision of a head.

    Args:
        flat: An earlier version of the document.
        revision: Revision of `flat`, not below the `base_revision` of `head`.
        head: The head.
    """
    for change in head.changes:
        if change.revision > revision:
            flat = documents.apply_delta(flat, change.delta)
    return flat
