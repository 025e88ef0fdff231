"""Reads and writes of the lists in the platform's store."""

import dataclasses

import orjson
from returns import result

from hickoryreach import exceptions
from hickoryreach.lists import documents
from hickoryreach.lists import heads
from hickoryreach.trial import store

Failure = exceptions.Conflict | exceptions.StoreFailure


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoredList:
    """A list as it was read from the store.

    Attributes:
        head: Its head.
        flat: Its document at the revision of the head, as a flat map.
        index: Modification index of the head, for compare-and-swap.
    """

    head: heads.Head
    flat: documents.FlatDocument
    index: int


def read_head(
    client: store.Store, name: str
) -> result.Result[tuple[heads.Head, int], exceptions.StoreFailure]:
    """Reads the head of a list and its index; 0 where there is no head."""
    return client.get(heads.get_head_key(name)).bind(_parse_head)


def _parse_head(
    snapshot: store.Snapshot,
) -> result.Result[tuple[heads.Head, int], exceptions.StoreFailure]:
    if not snapshot.values:
        return result.Success((heads.Head(), 0))
    value = snapshot.values[0]
    try:
        return result.Success((heads.parse_head(value.data), value.index))
    except ValueError:
        return result.Failure(
            exceptions.StoreFailure(reason=f"malformed value {value.key}")
        )


def read_snapshot(
    client: store.Store, name: str, revision: int
) -> result.Result[documents.FlatDocument, exceptions.StoreFailure]:
    """Reads the document in a snapshot; revision 0 has an empty one."""
    if revision == 0:
        return result.Success({})
    key = heads.get_snapshot_key(name, revision)
    return client.get(key).bind(
        lambda found: (
            result.Success(orjson.loads(found.values[0].data))
            if found.values
            else result.Failure(
                exceptions.StoreFailure(reason=f"no value {key}")
            )
        )
    )


def read_list(
    client: store.Store, name: str
) -> result.Result[StoredList, exceptions.StoreFailure]:
    """Reads the head of a list and its document."""
    return read_head(client, name).bind(
        lambda found: read_snapshot(client, name, found[0].base_revision).map(
            lambda flat: StoredList(
                head=found[0],
                flat=heads.replay_changes(
                    flat, found[0].base_revision, found[0]
                ),
                index=found[1],
            )
        )
    )


def read_list_with_retry(
    client: store.Store, name: str
) -> result.Result[StoredList, exceptions.StoreFailure]:
    """Reads a list, with one retry.

    The first read fails if a compaction deletes the snapshot after the head
    was read.
    """
    read = read_list(client, name)
    if isinstance(read, result.Failure):
        read = read_list(client, name)
    return read


def read_segment(
    client: store.Store, name: str, revision: int
) -> result.Result[heads.Segment | None, exceptions.StoreFailure]:
    """Reads the segment that ends with a revision; None if it is absent."""
    key = heads.get_segment_key(name, revision)
    return client.get(key).map(
        lambda found: (
            heads.parse_segment(found.values[0].data) if found.values else None
        )
    )


def write_snapshot_and_segment(
    client: store.Store,
    name: str,
    head: heads.Head,
    flat: documents.FlatDocument,
) -> result.Result[None, exceptions.StoreFailure]:
    """Writes the snapshot and the segment for the revision of a head.

    All writers write the same bytes under these keys, so a conflict means that
    the value is already stored and is no failure.
    """
    values = {
        heads.get_snapshot_key(name, head.revision): heads.pack(flat),
        heads.get_segment_key(name, head.revision): heads.pack(
            heads.build_segment(head)
        ),
    }
    for key, data in values.items():
        written = client.put_if(key, data, index=0)
        if isinstance(written, result.Failure) and isinstance(
            written.failure(), exceptions.StoreFailure
        ):
            return result.Failure(written.failure())
    return result.Success(None)
